package schema

import _ "embed"

// SettingsSource is the schema of settings and intents, with its comments, from
// which docs/SETTINGS.md is made.
//
//go:embed settings.proto
var SettingsSource string
