// Command rig-2 plays the scripted cases of the second review: it starts a small deployment of the project's own
// programs as separate processes on loopback addresses, with stand-ins for the platform, the backend servers and the
// clients, and checks one rule by what these see.
package main
