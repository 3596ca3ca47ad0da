package schema

import _ "embed"

// SettingsSource is the text of settings.proto, from whose comments docs/SETTINGS.md
// is generated.
//
//go:embed settings.proto
var SettingsSource string
