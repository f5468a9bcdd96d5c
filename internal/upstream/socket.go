package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpUserTimeoutOption is Linux's TCP_USER_TIMEOUT, which the syscall package does not define.
const tcpUserTimeoutOption = 18

// Dialer returns a dial function for connections that fail if sent data stays unacknowledged for the given time.
// After a network partition or a power failure of the peer no reset arrives, and the kernel would retransmit for
// minutes before it reports an error.
func Dialer(timeout, unacknowledged time.Duration) func(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(unacknowledged.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

// openWithoutData reports, without blocking, whether the peer has neither closed the connection nor sent data.
func openWithoutData(raw net.Conn) bool {
	connection, ok := raw.(syscall.Conn)
	if !ok {
		return true
	}
	rawConnection, err := connection.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rawConnection.Read(func(fd uintptr) bool {
		open = wouldBlock(fd)
		return true
	})
	return err == nil && open
}

// tcpEstablished is Linux's TCP_ESTABLISHED.
const tcpEstablished = 1

// isOpen reports, without blocking, whether the peer has neither closed nor reset the connection, also while it is read. It asks for the state: a
// read, also one that only peeks, would take a reset away from the exchange, which would then see an orderly close.
func isOpen(raw net.Conn) bool {
	connection, ok := raw.(syscall.Conn)
	if !ok {
		return false
	}
	rawConnection, err := connection.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	// Control, unlike Read, doesn't wait for a pending read.
	err = rawConnection.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = infoErr == nil && info.State == tcpEstablished
	})
	return err == nil && open
}

// wouldBlock reports whether a read of the socket would wait.
func wouldBlock(fd uintptr) bool {
	var one [1]byte
	_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}
