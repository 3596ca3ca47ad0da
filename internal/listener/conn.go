package listener

import (
	"bytes"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// headByteCost and headFieldCost are what a byte and a line of a head take by estimate once it is parsed and copied: a
	// field in a map takes many times its bytes.
	headByteCost  = 3
	headFieldCost = 256
	// headSlackBytes is how much longer than its limit a head may be, as in net/http.
	headSlackBytes = 4 << 10
	// readAheadBytes is how much of the next request net/http may have read together with a body.
	readAheadBytes = 4 << 10
	// refusalTimeout bounds the time to send a refusal and to read what is left of its request, and maxDiscardBytes the
	// latter: a connection that is closed before could be reset before its caller has read the response.
	refusalTimeout  = 500 * time.Millisecond
	maxDiscardBytes = 256 << 10
)

// The responses to heads that are not read in full.
const (
	headTooLongResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	noMemoryResponse    = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// conn is a connection to an HTTP server. It counts the bytes of heads as they are read.
type conn struct {
	base
	// head is what has been read of the current head, guarded by l.mu.
	head head
}

// head counts a head of a request.
type head struct {
	// ended is set once the head has arrived in full, or was found to be in what had been read ahead.
	ended bool
	// begun is set once a line has ended that is not empty.
	begun bool
	// bytes and lines count the head, lineBytes the current line; endsInCR is set if that ends with CR.
	bytes, lines, lineBytes int
	endsInCR                bool
	// ahead counts the lines in the last bytes behind the head, which may be those of the next one.
	ahead int
}

// read counts bytes.
func (h *head) read(p []byte) {
	for len(p) > 0 && !h.ended {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			h.bytes += len(p)
			h.lineBytes += len(p)
			h.endsInCR = p[len(p)-1] == '\r'
			return
		}
		if i > 0 {
			h.endsInCR = p[i-1] == '\r'
		}
		h.bytes += i + 1
		h.lineBytes += i
		blank := h.lineBytes == 0 || h.lineBytes == 1 && h.endsInCR
		// Empty lines before the request do not end its head: net/http skips some.
		h.ended = blank && h.begun
		h.begun = h.begun || !blank
		h.lines++
		h.lineBytes, h.endsInCR = 0, false
		p = p[i+1:]
	}
	if h.ended {
		h.ahead = bytes.Count(p[max(0, len(p)-readAheadBytes):], []byte{'\n'})
	}
}

// cost returns what the head takes by estimate.
func (h *head) cost() int64 {
	return int64(h.bytes)*headByteCost + int64(h.lines)*headFieldCost
}

// Read implements net.Conn. Once a head is over a limit it sends a refusal and returns io.EOF.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	refusal, replaced, open := c.received(p[:n])
	closeAll(replaced)
	switch {
	case refusal != "":
		c.refuse(refusal)
		return 0, io.EOF
	case !open:
		// What has been read must not become a request: its caller sees a closed connection.
		return 0, net.ErrClosed
	}
	return n, err
}

// received counts bytes. It returns the refusal to send if the head is over a limit, the connections to close, and whether
// this one is still open.
func (c *conn) received(p []byte) (refusal string, replaced []*base, open bool) {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if c.dropped || c.closed {
		return "", nil, false
	}
	counting := !c.head.ended
	c.head.read(p)
	if !counting {
		return "", nil, true
	}
	if limit := c.l.cfg.MaxHeadBytes; limit != nil && c.head.bytes > limit()+headSlackBytes {
		c.l.drop(&c.base, ReasonHeadBytes)
		return headTooLongResponse, nil, false
	}
	replaced, enough := c.l.grow(&c.base, c.head.cost(), 0)
	if !enough {
		c.l.drop(&c.base, ReasonPartial)
		return noMemoryResponse, replaced, false
	}
	if c.head.ended {
		c.keep()
	}
	return "", replaced, true
}

// SetReadDeadline implements net.Conn. While the connection waits for a request, or for the rest of its head, the deadline is no
// earlier than MinWait has it.
func (c *conn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	if minWait := c.l.cfg.MinWait; minWait != nil && t.After(now) && c.waits() {
		if earliest := now.Add(minWait()); t.Before(earliest) {
			t = earliest
		}
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *conn) waits() bool {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	return !c.head.ended
}

// refuse sends a refusal. While the port has connections to spare, it reads what is left of the request for a moment.
func (c *conn) refuse(response string) {
	// Errors mean that the caller is gone, or does not read.
	_ = c.SetDeadline(time.Now().Add(refusalTimeout))
	if _, err := io.WriteString(c.Conn, response); err != nil || c.l.Open() > c.l.limit/2 || c.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, maxDiscardBytes)
}

// admission is what becomes of a request.
type admission int

const (
	admitted admission = iota
	// refusedBusy: all connections have a request, and refusedMemory: there is no memory for its head.
	refusedBusy
	refusedMemory
	// gone: the connection has been closed.
	gone
)

// begin admits a request. The connection may be closed no more, or not before the body of the request has arrived.
func (c *conn) begin(hasBody bool) admission {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if c.dropped || c.closed {
		return gone
	}
	c.keep()
	if hasBody {
		c.moveTo(c.l.receiving)
	}
	// A head that was read ahead together with a body has not been counted.
	c.head.ended = true
	switch {
	case c.refused && c.l.open > c.l.limit-c.l.limit/refusingDivisor:
		c.l.recordClosed(c.Conn, ReasonBusy)
		return refusedBusy
	case !c.share.Resize(c.head.cost()):
		c.l.recordClosed(c.Conn, ReasonPartial)
		return refusedMemory
	}
	return admitted
}

// await makes the connection one that waits for a request.
func (c *conn) await() {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if c.dropped || c.closed {
		return
	}
	c.share.Release()
	c.head = head{lines: c.head.ahead}
	c.moveTo(c.l.waiting)
}

// bodyArrived makes the connection one that may not be closed. It returns false if it has been closed before.
func (c *conn) bodyArrived() bool {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if c.dropped {
		return false
	}
	c.keep()
	return true
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	c *conn
}

// Read implements io.Reader.
func (b body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.c.bodyArrived() {
		// The caller sees a closed connection: the request must not be served.
		return 0, net.ErrClosed
	}
	return n, err
}
