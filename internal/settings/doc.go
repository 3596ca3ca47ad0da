// Package settings decodes settings and intents from YAML files into the messages
// of the schema and validates them. It reports all faults of a file at once, each
// with its line and a remedy.
package settings
