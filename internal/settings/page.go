package settings

import (
	"fmt"
	"regexp"
	"strings"

	"fennelyard/internal/schema"
)

var (
	messageLine = regexp.MustCompile(`^message (\w+) \{`)
	fieldLine   = regexp.MustCompile(`^  (repeated |optional )?([\w.]+) \w+ = \d+ \[json_name = "([^"]+)"\];`)
	commentLine = regexp.MustCompile(`^\s*// ?(.*)$`)
)

// Page returns the text of docs/SETTINGS.md, generated from the schema, its comments and the constants of packages bound and
// drain.
func Page() string {
	var b strings.Builder
	b.WriteString("# Settings and intents\n\nGenerated from the schema by `fennelyard page settings`; a test checks that it is up to date.\n" +
		"Keys are in kebab case. A duration has its unit, such as 500ms, 30s or 5m. Unknown keys are rejected.\n")
	var comment []string
	for _, line := range strings.Split(schema.SettingsSource, "\n") {
		if m := commentLine.FindStringSubmatch(line); m != nil {
			comment = append(comment, m[1])
			continue
		}
		text := strings.Join(comment, " ")
		comment = nil
		if m := messageLine.FindStringSubmatch(line); m != nil {
			fmt.Fprintf(&b, "\n## %s\n\n%s\n\n| key | kind | meaning |\n|---|---|---|\n", m[1], text)
			continue
		}
		if m := fieldLine.FindStringSubmatch(line); m != nil {
			fmt.Fprintf(&b, "| `%s` | %s | %s |\n", m[3], kindName(m[1] == "repeated ", m[2]), text)
		}
	}
	writeBounds(&b)
	return b.String()
}

func kindName(list bool, kind string) string {
	name := map[string]string{
		"string": "string", "bool": "true or false", "uint32": "whole number", "uint64": "whole number",
		"int32": "whole number", "double": "number", "google.protobuf.Duration": "duration",
	}[kind]
	if name == "" {
		name = kind
	}
	if list {
		return "list of " + name
	}
	return name
}
