package incarnation_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/incarnation"
)

func TestKeysAreParsed(t *testing.T) {
	for title, tt := range map[string]struct {
		name incarnation.Name
		key  string
	}{
		"a start time":                {incarnation.Name{Server: "i-7f", StartMs: 1784556072000}, "i-7f@1784556072000"},
		"no start time reported":      {incarnation.Name{Server: "i-7f"}, "i-7f"},
		"an id that looks like a key": {incarnation.Name{Server: "i@5"}, "i@5@0"},
		"an id with the separator":    {incarnation.Name{Server: "a@b", StartMs: 7}, "a@b@7"},
		"no id":                       {incarnation.Name{}, ""},
	} {
		t.Run(title, func(t *testing.T) {
			require.Equal(t, tt.key, tt.name.String())
			require.Equal(t, tt.name, incarnation.Parse(tt.key))
		})
	}
	require.Equal(t, incarnation.Name{Server: "a@b"}, incarnation.Parse("a@b"))
}
