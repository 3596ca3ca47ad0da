package incarnation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/incarnation"
)

func TestMayHaveReceived(t *testing.T) {
	at := time.UnixMilli(5000)
	for title, tt := range map[string]struct {
		key, sentTo string
		may         bool
	}{
		"the addressee":                      {"a@9000", "a@9000", true},
		"no start time reported":             {"a", "a", true},
		"a start before the request":         {"a@5000", "a@1000", true},
		"a start after the request":          {"a@5001", "a@1000", false},
		"an earlier start":                   {"a@1000", "a@4000", false},
		"another server":                     {"b@5000", "a@1000", false},
		"a start time that is reported late": {"a@4000", "a", true},
	} {
		t.Run(title, func(t *testing.T) {
			require.Equal(t, tt.may, incarnation.MayHaveReceived(tt.key, tt.sentTo, at))
		})
	}
}

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
