package engine_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/engine"
	"fennelyard/internal/schema"
)

// An engine replies with long texts: they must not fill the lines and the records that quote them.
func TestTextsOfEnginesAreQuotedInPart(t *testing.T) {
	const maxBytes = 1 << 10
	long := strings.Repeat("\u00e9", 6<<10)
	for name, c := range map[string]struct {
		raw, body string
		refused   bool
	}{
		"status line": {raw: "HTTP/1.1 " + long + "\r\n\r\n"},
		"no JSON":     {body: long},
		"outcome":     {body: fmt.Sprintf(`{"outcome":%q,"fencing":"7"}`, long)},
		"reason":      {body: fmt.Sprintf(`{"outcome":"refused","reason":%q,"fencing":"7"}`, long), refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if c.raw == "" {
					_, _ = io.WriteString(w, c.body)
					return
				}
				conn, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					_, _ = io.WriteString(conn, c.raw)
					_ = conn.Close()
				}
			}))
			defer server.Close()
			reply, err := engine.NewClient().SendOrder(context.Background(), strings.TrimPrefix(server.URL, "http://"), &schema.Order{Fencing: 7})
			if c.refused {
				require.NoError(t, err)
				require.NotEmpty(t, reply.GetReason())
				require.Less(t, len(reply.GetReason()), maxBytes)
				return
			}
			require.Error(t, err)
			require.Less(t, len(err.Error()), maxBytes)
		})
	}
}
