package standin

import (
	"net/http"
	"strconv"

	"fennelyard/internal/routing"
)

// withIdentity returns a handler that names the incarnation to those who ask for it, or responds to them with
// identify if that is set, and leaves all other requests to next.
func withIdentity(next http.Handler, incarnation uint64, identify http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method != http.MethodGet || r.URL.Path != routing.IncarnationPath:
			next.ServeHTTP(w, r)
		case identify != nil:
			identify(w, r)
		default:
			w.Header().Set(routing.HeaderIncarnation, strconv.FormatUint(incarnation, 10))
		}
	})
}
