package tcp

import (
	"net"
	"syscall"
	"unsafe"

	"github.com/cockroachdb/errors"
)

// ErrNotForwarded reports that no byte of a request was forwarded to its server.
var ErrNotForwarded = errors.New("the request was not forwarded")

// tcpEstablished is TCP_ESTABLISHED in linux/tcp_states.h, the state of a connection that neither end has closed.
const tcpEstablished = 1

// IsEstablished reports whether neither end has closed or reset a connection: a kernel hands out the bytes that came
// before. Connections whose state is not known count as established.
func IsEstablished(conn net.Conn) bool {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	state := uint8(tcpEstablished)
	err = raw.Control(func(fd uintptr) {
		// The state is the first byte of struct tcp_info.
		var info [1]uint8
		size := uint32(len(info))
		_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
			uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
		if errno == 0 && size == uint32(len(info)) {
			state = info[0]
		}
	})
	// An error means that this end has closed the connection.
	return err == nil && state == tcpEstablished
}
