package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// caller is one connection of a caller to an entry.
type caller struct {
	conn net.Conn
	in   *bufio.Reader
}

// answer is what a caller has got for a request.
type answer struct {
	// status is 0 if the connection ended before a header.
	status int
	signed bool
	body   string
	// err is why the answer ended early, nil if it is complete.
	err error
}

// complete reports whether the answer ended in the way that its header announces.
func (a answer) complete() bool { return a.status != 0 && a.err == nil }

func (a answer) String() string {
	end := "complete"
	if a.err != nil {
		end = "not complete: " + a.err.Error()
	}
	return fmt.Sprintf("status %d, signature %v, %d pieces, %s", a.status, a.signed, pieceCount(a.body), end)
}

func dialCaller(address string) (*caller, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, fmt.Errorf("connect to entry: %w", err)
	}
	return &caller{conn: conn, in: bufio.NewReader(conn)}, nil
}

func (c *caller) close() { _ = c.conn.Close() }

// exchange sends a request on the connection and reads the answer.
func (c *caller) exchange(id, path string) answer {
	if err := c.send(id, path); err != nil {
		return answer{err: err}
	}
	return c.receive()
}

func (c *caller) send(id, path string) error {
	_, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", path, hostname, id, requestTimeoutMs)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	return nil
}

func (c *caller) receive() answer {
	_ = c.conn.SetReadDeadline(time.Now().Add(requestTimeoutMs * time.Millisecond))
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return answer{err: fmt.Errorf("read header: %w", err)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header.Get("Response-Signature") != "", string(body), err}
}

// pieceCount returns the number of pieces in a body that a stand-in has written.
func pieceCount(body string) int { return strings.Count(body, pieceMark) }
