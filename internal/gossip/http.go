package gossip

import (
	"bytes"
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/bound"
	"fennelyard/internal/memory"
	"fennelyard/internal/schema"
	"fennelyard/internal/tcp"
)

const (
	// path is where entries take messages of others.
	path = "/suspects"
	// maxMessageBytes and maxSuspects bound a message: 256 records of 16 servers.
	maxMessageBytes = 256 << 10
	maxSuspects     = 256
	// maxMessagesBytes bounds the messages that are being received. They do not take from the budget of callers, who
	// could keep evidence from this entry.
	maxMessagesBytes = 4 << 20
	// maxIdlePerHost is the number of idle connections to each entry, and maxIdle to all.
	maxIdlePerHost = 1
	maxIdle        = 32
)

// IsRequest reports whether a request between hosts is one for a Handler.
func IsRequest(r *http.Request) bool { return r.URL.Path == path }

// NewHandler returns the handler for messages of other entries.
func NewHandler(g *Gossip) http.Handler {
	bodies := memory.NewBudget(memory.Config{Bytes: maxMessagesBytes})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			w.WriteHeader(http.StatusMethodNotAllowed)
			return
		}
		share := bodies.NewShare()
		defer share.Release()
		body, ended, err := share.Read(http.MaxBytesReader(w, r.Body, maxMessageBytes), r.ContentLength, maxMessageBytes+1)
		if err == nil && !ended {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if err != nil {
			g.logMalformed(err)
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		m := &schema.SuspectExchange{}
		if err = proto.Unmarshal(body, m); err != nil || len(m.GetSuspects()) > maxSuspects {
			g.logMalformed(err)
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		reply, err := proto.Marshal(g.Receive(m))
		if err != nil {
			g.cfg.Log.Error(err, "reply on suspects not encoded")
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		// A write fails only if the other entry no longer waits.
		_, _ = w.Write(reply)
	})
}

func (g *Gossip) logMalformed(err error) {
	if err == nil {
		err = errTooManySuspects
	}
	g.logFailure("malformed message: " + err.Error())
}

var errTooManySuspects = errors.New("too many suspects in a message")

// Client sends messages to other entries. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a Client that connects with dial.
func NewClient(dial func(ctx context.Context, address string) (net.Conn, error)) *Client {
	return &Client{http: &http.Client{Transport: tcp.NewTransport(dial, maxIdlePerHost, maxIdle)}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Exchange sends a message to the entry at an address and returns its response.
func (c *Client) Exchange(ctx context.Context, address string, m *schema.SuspectExchange) (*schema.SuspectExchange, error) {
	body, err := proto.Marshal(m)
	if err != nil {
		return nil, errors.Newf("encode suspects: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Newf("make request to %s: %w", address, err)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return nil, errors.Newf("send suspects to %s: %w", address, bound.ShortError(err))
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("send suspects to %s: status %d", address, response.StatusCode)
	}
	if body, err = bound.ReadReply(response, maxMessageBytes); err != nil {
		return nil, errors.Newf("read reply of %s: %w", address, err)
	}
	reply := &schema.SuspectExchange{}
	if err = proto.Unmarshal(body, reply); err != nil {
		return nil, errors.Newf("decode reply of %s: %w", address, err)
	}
	return reply, nil
}
