package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"fennelyard/internal/schema"
)

const (
	// endlessMessageBytes is the stated length of a message that does not end, and sentMessageBytes what is sent of it.
	endlessMessageBytes = 60 << 20
	sentMessageBytes    = 4 << 20
	// unreadMessageBytes is the length of a message that has arrived in full.
	unreadMessageBytes = 64 << 10
)

// grpcConn is the client's end of a gRPC connection whose calls do not end.
type grpcConn struct {
	framer *http2.Framer
	// connWindow and streamWindow are what may be sent before the host has read it, the latter on each new stream and on
	// the open ones.
	connWindow, streamWindow int
	windows                  map[uint32]int
}

func newGRPCConn(conn net.Conn) (*grpcConn, error) {
	if _, err := io.WriteString(conn, http2.ClientPreface); err != nil {
		return nil, err
	}
	c := &grpcConn{framer: http2.NewFramer(conn, conn), connWindow: 65535, streamWindow: 65535, windows: map[uint32]int{}}
	return c, c.framer.WriteSettings()
}

// open starts a call on a stream.
func (c *grpcConn) open(stream uint32, method string) error {
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for _, f := range []hpack.HeaderField{
		{Name: ":method", Value: "POST"},
		{Name: ":scheme", Value: "http"},
		{Name: ":path", Value: method},
		{Name: ":authority", Value: "host"},
		{Name: "content-type", Value: "application/grpc"},
		{Name: "te", Value: "trailers"},
	} {
		if err := encoder.WriteField(f); err != nil {
			return err
		}
	}
	c.windows[stream] = c.streamWindow
	return c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: true})
}

// send sends bytes of a message as far as the host's windows allow.
func (c *grpcConn) send(stream uint32, data []byte) error {
	for len(data) > 0 {
		n := min(len(data), 16<<10, c.connWindow, c.windows[stream])
		if n <= 0 {
			if err := c.readFrame(); err != nil {
				return err
			}
			continue
		}
		if err := c.framer.WriteData(stream, false, data[:n]); err != nil {
			return err
		}
		c.connWindow -= n
		c.windows[stream] -= n
		data = data[n:]
	}
	return nil
}

// readFrame reads and answers one frame of the host.
func (c *grpcConn) readFrame() error {
	frame, err := c.framer.ReadFrame()
	if err != nil {
		return err
	}
	switch f := frame.(type) {
	case *http2.SettingsFrame:
		if f.IsAck() {
			return nil
		}
		if v, ok := f.Value(http2.SettingInitialWindowSize); ok {
			for stream := range c.windows {
				c.windows[stream] += int(v) - c.streamWindow
			}
			c.streamWindow = int(v)
		}
		return c.framer.WriteSettingsAck()
	case *http2.PingFrame:
		if !f.IsAck() {
			return c.framer.WritePing(true, f.Data)
		}
	case *http2.WindowUpdateFrame:
		if f.StreamID == 0 {
			c.connWindow += int(f.Increment)
		} else {
			c.windows[f.StreamID] += int(f.Increment)
		}
	}
	return nil
}

// stay reads and answers frames until the host closes the connection or the crowd ends.
func (c *grpcConn) stay() error {
	for {
		if err := c.readFrame(); err != nil {
			return err
		}
	}
}

// grpcCrowds returns the crowds of clients of the hosts' port of a control host.
func grpcCrowds() map[string]crowd {
	stay := func(calls int, method string, messageBytes int) func(net.Conn, int, func()) {
		return func(conn net.Conn, _ int, sent func()) {
			c, err := newGRPCConn(conn)
			_ = conn.SetWriteDeadline(time.Time{})
			for i := range calls {
				stream := uint32(2*i + 1)
				if err == nil {
					err = c.open(stream, method)
				}
				if err == nil && messageBytes > 0 {
					message := binary.BigEndian.AppendUint32([]byte{0}, endlessMessageBytes)
					err = c.send(stream, append(message, make([]byte, messageBytes)...))
				}
			}
			sent()
			if err == nil {
				_ = c.stay()
			}
		}
	}
	return map[string]crowd{
		"no bytes":                {members: 1500, reads: true, send: short("")},
		"half a preface":          {members: 1500, reads: true, send: short(http2.ClientPreface[:10])},
		"no calls":                {members: 1500, play: stay(0, "", 0)},
		"calls without a message": {members: 300, play: stay(100, schema.Peer_Propose_FullMethodName, 0)},
		"messages without end":    {members: 100, play: stay(1, schema.Peer_Propose_FullMethodName, sentMessageBytes)},
		"messages that are not read": {members: 4, play: func(conn net.Conn, _ int, sent func()) {
			c, err := newGRPCConn(conn)
			_ = conn.SetWriteDeadline(time.Time{})
			// The handler reads the first message alone.
			messages := bytes.Repeat(append(binary.BigEndian.AppendUint32([]byte{0}, unreadMessageBytes), make([]byte, unreadMessageBytes)...), 12)
			for i := range 100 {
				stream := uint32(2*i + 1)
				if err == nil {
					err = c.open(stream, schema.Peer_Watch_FullMethodName)
				}
				if err == nil {
					err = c.send(stream, append(make([]byte, 5), messages...))
				}
			}
			sent()
			if err == nil {
				_ = c.stay()
			}
		}},
		"messages of many streams": {members: 4, play: stay(100, schema.Peer_Deliver_FullMethodName, sentMessageBytes/4)},
	}
}

// A crowd at the port for other hosts takes the memory or the descriptors of a control host, or keeps new hosts out.
func TestCrowdsAtControlHosts(t *testing.T) {
	for name, members := range grpcCrowds() {
		t.Run(name, func(t *testing.T) {
			c := newCrowdCase(t)
			started := false
			joined := func() bool {
				if !started {
					started = true
					c.startEntry(1)
				}
				return c.get(fmt.Sprintf("http://%s:%d/v1/ready", c.entryIP(1), c.port+3))()
			}
			play(t, members, fmt.Sprintf("%s:%d", c.controlIP(0), c.port), c.cluster.process("core-0"), c.served, joined)
		})
	}
}
