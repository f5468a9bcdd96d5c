package upstream

import (
	"context"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which the syscall package does not name.
const tcpUserTimeout = 18

// Dialer opens connections that end if nobody acknowledges their bytes for a while; a cut is
// silent, and after a loss of power the retries of the kernel come seconds late.
func Dialer(timeout, unacknowledged time.Duration) func(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(descriptor uintptr) {
				failed = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledged.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

// stillOpen looks, without waiting, whether the peer has closed the connection or sent bytes.
func stillOpen(raw net.Conn) bool {
	connection, ok := raw.(syscall.Conn)
	if !ok {
		return true
	}
	descriptor, err := connection.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = descriptor.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
