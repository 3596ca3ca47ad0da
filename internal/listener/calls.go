package listener

import (
	"encoding/binary"
	"net"
	"time"
)

// Frames of HTTP/2 (RFC 9113, section 4.1) and the prefix of messages of gRPC.
const (
	prefaceBytes     = 24
	frameHeaderBytes = 9
	frameData        = 0x0
	frameHeaders     = 0x1
	frameReset       = 0x3
	flagEndStream    = 0x1
	flagPadded       = 0x8
	messagePrefix    = 5
	// minPartialAge is how long a connection may hold partial messages before it is closed for one that has not sent a
	// whole message yet. Otherwise connections that reconnect at once would have the server start and abandon calls
	// as fast as they come.
	minPartialAge = time.Second
	// callBytes is what a call takes by estimate until its first message has arrived.
	callBytes = 8 << 10
)

// callConn is a connection of another host to a server of calls. It reads the frames that pass, so that messages that have
// not arrived in full are counted: the server holds all that has arrived of them.
type callConn struct {
	base
	// prefaceLeft is how much of the client's preface is still to come, and header the part of a frame's header that has
	// been read. frame is the current frame, and payloadLeft what is still to come of it.
	prefaceLeft int
	header      []byte
	frame       frame
	payloadLeft int
	// streams holds the calls whose client may still send. taken is what they take.
	streams map[uint32]*callStream
	taken   int64
	// established is set once a whole message has arrived.
	established bool
}

type frame struct {
	kind, flags byte
	stream      uint32
}

// callStream is what has arrived of the current message of a call.
type callStream struct {
	// prefix is the part of the message's prefix that has been read, and left what is still to come of the message.
	prefix []byte
	left   int64
	// bytes has arrived of the message. first is set until the first message has arrived in full.
	bytes int64
	first bool
}

func (s *callStream) cost() int64 {
	if s.first {
		return s.bytes + callBytes
	}
	return s.bytes
}

// Read implements net.Conn.
func (c *callConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	taken := c.taken
	called, wellFormed := c.parse(p[:n])
	replaced, open := c.account(called, wellFormed, c.taken != taken)
	closeAll(replaced)
	if !open {
		return 0, net.ErrClosed
	}
	return n, err
}

// account counts what was read. It returns the connections to close, and whether this one is still open.
func (c *callConn) account(called, wellFormed, changed bool) (replaced []*base, open bool) {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if c.dropped || c.closed {
		return nil, false
	}
	if !wellFormed {
		c.l.drop(&c.base, ReasonMalformed)
		return nil, false
	}
	if called {
		c.moveTo(c.l.used)
	}
	if !changed {
		return nil, true
	}
	minAge := minPartialAge
	if c.established {
		minAge = 0
	}
	if replaced, open = c.l.grow(&c.base, c.taken, minAge); !open {
		c.l.drop(&c.base, ReasonPartial)
	}
	return replaced, open
}

// parse reads frames. called is set if a part of a call is among them; wellFormed is false if they are no frames that a
// client of gRPC sends.
func (c *callConn) parse(p []byte) (called, wellFormed bool) {
	if n := min(len(p), c.prefaceLeft); n > 0 {
		c.prefaceLeft -= n
		p = p[n:]
	}
	for len(p) > 0 {
		if c.payloadLeft == 0 {
			n := min(len(p), frameHeaderBytes-len(c.header))
			c.header = append(c.header, p[:n]...)
			p = p[n:]
			if len(c.header) < frameHeaderBytes {
				return called, true
			}
			c.payloadLeft = int(c.header[0])<<16 | int(c.header[1])<<8 | int(c.header[2])
			c.frame = frame{kind: c.header[3], flags: c.header[4], stream: binary.BigEndian.Uint32(c.header[5:]) & 0x7fffffff}
			c.header = c.header[:0]
			if c.frame.kind == frameData && c.frame.flags&flagPadded != 0 {
				return called, false
			}
			called = c.beginFrame() || called
		} else {
			n := min(len(p), c.payloadLeft)
			if c.frame.kind == frameData {
				c.receive(p[:n])
			}
			c.payloadLeft -= n
			p = p[n:]
		}
		if c.payloadLeft == 0 && len(c.header) == 0 {
			c.endFrame()
		}
	}
	return called, true
}

// beginFrame reports whether the frame is a part of a call.
func (c *callConn) beginFrame() bool {
	switch c.frame.kind {
	case frameHeaders:
		if c.streams[c.frame.stream] == nil && c.frame.flags&flagEndStream == 0 {
			s := &callStream{first: true}
			c.streams[c.frame.stream] = s
			c.taken += s.cost()
		}
		return true
	case frameData:
		return true
	}
	return false
}

// endFrame ends the call's messages with the frame that is its client's last.
func (c *callConn) endFrame() {
	last := c.frame.kind == frameReset || c.frame.flags&flagEndStream != 0 && (c.frame.kind == frameData || c.frame.kind == frameHeaders)
	if s := c.streams[c.frame.stream]; last && s != nil {
		c.taken -= s.cost()
		delete(c.streams, c.frame.stream)
	}
}

// receive counts a part of the messages of the frame's call.
func (c *callConn) receive(p []byte) {
	s := c.streams[c.frame.stream]
	if s == nil {
		return
	}
	c.taken -= s.cost()
	for len(p) > 0 {
		if s.left == 0 {
			n := min(len(p), messagePrefix-len(s.prefix))
			s.prefix = append(s.prefix, p[:n]...)
			p = p[n:]
			if len(s.prefix) < messagePrefix {
				break
			}
			s.left = int64(binary.BigEndian.Uint32(s.prefix[1:]))
			s.prefix = s.prefix[:0]
		}
		n := min(int64(len(p)), s.left)
		s.left -= n
		s.bytes += n
		p = p[n:]
		if s.left == 0 {
			s.bytes, s.first, c.established = 0, false, true
		}
	}
	c.taken += s.cost()
}
