package quarantine_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/quarantine"
)

// A repeated request has the same key. One that differs in any part has another key, also
// if the concatenation of two parts is the same.
func TestKey(t *testing.T) {
	base := quarantine.Request{Method: "POST", Host: "h.example", Target: "/a/b", Caller: "ann", Body: []byte("body")}
	again := base
	again.Body = []byte("body")
	require.Equal(t, base.Key(), again.Key())
	for name, change := range map[string]func(*quarantine.Request){
		"method": func(r *quarantine.Request) { r.Method = "PUT" },
		"host":   func(r *quarantine.Request) { r.Host = "i.example" },
		"target": func(r *quarantine.Request) { r.Target = "/a/b?x" },
		"caller": func(r *quarantine.Request) { r.Caller = "bob" },
		"nobody": func(r *quarantine.Request) { r.Caller = "" },
		"body":   func(r *quarantine.Request) { r.Body = []byte("bodY") },
		"border": func(r *quarantine.Request) { r.Host, r.Target = "h.example/a", "/b" },
	} {
		other := base
		change(&other)
		require.NotEqual(t, base.Key(), other.Key(), name)
		require.Equal(t, other.Hint(), other.Key().Hint(), name)
	}
}
