package role_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
)

// callResult is the response that a caller receives.
type callResult struct {
	// id is the id that the request had.
	id string
	// status is 0 for a response that was cut off.
	status int
	// retryAfterSeconds is the value of Retry-After, 0 if there is none.
	retryAfterSeconds float64
	// body is what arrived of the response's body.
	body string
}

// call sends a request to an entry. It may be called from other goroutines than the
// deployment's.
func (d *deployment) call(ip, path, body string) callResult { return d.callWithParts(ip, path, body) }

// callWithParts is call with the IDs of the parts of the request's prompt.
func (d *deployment) callWithParts(ip, path, body string, parts ...string) callResult {
	header := http.Header{}
	if len(parts) > 0 {
		header.Set("X-Parts", strings.Join(parts, ","))
	}
	return d.callWith(ip, path, body, header)
}

// callWith is call with other headers of the request.
func (d *deployment) callWith(ip, path, body string, header http.Header) (result callResult) {
	d.entriesMu.RLock()
	entry := d.entries[ip]
	d.entriesMu.RUnlock()
	request := httptest.NewRequest(http.MethodPost, "http://h.example"+path, strings.NewReader(body))
	request.Header = header
	id := strconv.FormatInt(d.lastCallID.Add(1), 10)
	request.Header.Set("X-Id", id)
	recorder := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			result = callResult{id: id, body: recorder.Body.String()}
		}
	}()
	entry.CallerHandler().ServeHTTP(recorder, request)
	retryAfter, _ := strconv.ParseFloat(recorder.Header().Get("Retry-After"), 64)
	return callResult{id, recorder.Code, retryAfter, recorder.Body.String()}
}
