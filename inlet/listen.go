package inlet

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// socketBytes bounds the unread input of each connection, and the output that its caller has not read, in the kernel.
const socketBytes = 64 << 10

// bufferedListen listens for connections with bounded buffers, which accepted connections inherit.
func bufferedListen(address string) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return errors.Wrap(raw.Control(func(fd uintptr) {
			// Without them the kernel's own bounds hold.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBytes)
		}), "bound the buffers")
	}}
	return c.Listen(context.Background(), "tcp", address)
}
