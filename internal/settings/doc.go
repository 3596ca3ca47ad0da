// Package settings reads settings and intents from YAML files into the messages
// of the schema, and checks them. It reports every fault of a file at once, each
// with its line and with what would be right.
package settings
