package tcp

import "net/http"

// AbortResponse ends a response in progress so that it does not look complete, and does not return. It resets the
// connection: a regular close would be the end of a response that its caller takes without chunks.
func AbortResponse(w http.ResponseWriter) {
	// A connection that cannot be taken over is closed by the server.
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		Reset(conn)
	}
	panic(http.ErrAbortHandler)
}
