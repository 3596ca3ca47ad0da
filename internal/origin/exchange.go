package origin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/bound"
	"fennelyard/internal/tcp"
)

const (
	// pathPrefix is followed by a key.
	pathPrefix = "/streams/"
	// The keys of the query of a PUT.
	poolKey    = "pool"
	versionKey = "version"
	attemptKey = "attempt"
	// maxTextBytes bounds the name of a pool and a version, maxReplyBytes a reply.
	maxTextBytes  = 512
	maxReplyBytes = 4 << 10
	// maxIdlePerHost is the number of idle connections to each entry.
	maxIdlePerHost = 2
)

// Versions is what an entry knows of the versions of a pool's software.
type Versions struct {
	Pool string
	// Only is set if all servers have been of one version for as long as streams may be resumed: it is the
	// origin of streams that are not recorded. Several is set if they were of several within that time.
	Only, Several bool
	// Version is the only version.
	Version string
}

// ErrSeveralVersions is returned if an entry does not know an origin and has seen servers of several versions
// in the pool.
var ErrSeveralVersions = errors.New("the servers of the pool are or were of several versions")

// IsRequest reports whether a request between hosts is one for a Handler.
func IsRequest(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, pathPrefix) }

// NewHandler returns the handler for other entries: PUT records an origin, GET returns it,
// with 404 if it is not known, and 409 if the servers of the pool are or were of several versions.
func NewHandler(t *Table, versions func(pool string) Versions) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, err := parseKey(strings.TrimPrefix(r.URL.Path, pathPrefix))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		switch r.Method {
		case http.MethodPut:
			put(t, key, w, r.URL.Query())
		case http.MethodGet:
			get(t, key, w, versions(r.URL.Query().Get(poolKey)))
		default:
			w.WriteHeader(http.StatusMethodNotAllowed)
		}
	})
}

func put(t *Table, key Key, w http.ResponseWriter, query url.Values) {
	attempt, err := strconv.Atoi(query.Get(attemptKey))
	o := Origin{Pool: query.Get(poolKey), Version: query.Get(versionKey), Attempt: attempt}
	if err != nil || attempt < 0 || o.Pool == "" || len(o.Pool)+len(o.Version) > maxTextBytes {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.Put(key, o)
	w.WriteHeader(http.StatusNoContent)
}

// reply is the response to GET.
type reply struct {
	Pool    string `json:"pool"`
	Version string `json:"version"`
	Attempt int    `json:"attempt"`
}

func get(t *Table, key Key, w http.ResponseWriter, v Versions) {
	o, ok := t.Get(key)
	switch {
	case ok:
	case v.Several:
		w.WriteHeader(http.StatusConflict)
		return
	case !v.Only:
		w.WriteHeader(http.StatusNotFound)
		return
	default:
		o = Origin{Pool: v.Pool, Version: v.Version}
	}
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the other entry no longer waits.
	_ = json.NewEncoder(w).Encode(reply(o))
}

// Client records and finds origins at other entries. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a Client that connects with dial.
func NewClient(dial func(ctx context.Context, address string) (net.Conn, error)) *Client {
	return &Client{http: &http.Client{Transport: tcp.NewTransport(dial, maxIdlePerHost, 0)}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Put records an origin at another entry.
func (c *Client) Put(ctx context.Context, entry string, key Key, o Origin) error {
	query := url.Values{poolKey: {o.Pool}, versionKey: {o.Version}, attemptKey: {strconv.Itoa(o.Attempt)}}
	r, err := c.do(ctx, http.MethodPut, entry, key, query)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusNoContent {
		return errors.Newf("record origin at %s: status %d", entry, r.StatusCode)
	}
	return nil
}

// Get finds an origin at another entry; known is false if the entry does not know it. pool is where the
// stream would go on.
func (c *Client) Get(ctx context.Context, entry string, key Key, pool string) (o Origin, known bool, err error) {
	r, err := c.do(ctx, http.MethodGet, entry, key, url.Values{poolKey: {pool}})
	if err != nil {
		return Origin{}, false, err
	}
	defer func() { _ = r.Body.Close() }()
	switch r.StatusCode {
	case http.StatusNotFound:
		return Origin{}, false, nil
	case http.StatusConflict:
		return Origin{}, false, errors.Newf("find origin at %s: %w", entry, ErrSeveralVersions)
	case http.StatusOK:
		var found reply
		if err = json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxReplyBytes)).Decode(&found); err != nil {
			return Origin{}, false, errors.Newf("read origin from %s: %w", entry, err)
		}
		return Origin(found), true, nil
	}
	return Origin{}, false, errors.Newf("find origin at %s: status %d", entry, r.StatusCode)
}

func (c *Client) do(ctx context.Context, method, entry string, key Key, query url.Values) (*http.Response, error) {
	target := url.URL{Scheme: "http", Host: entry, Path: pathPrefix + key.String(), RawQuery: query.Encode()}
	r, err := http.NewRequestWithContext(ctx, method, target.String(), nil)
	if err != nil {
		return nil, errors.Newf("make request to %s: %w", entry, err)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return nil, errors.Newf("%s origin at %s: %w", method, entry, bound.ShortError(err))
	}
	return response, nil
}
