package ingress

import (
	"context"
	"net"
	"net/http"
)

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// contextWithConnection is the http.Server.ConnContext that stores the caller's connection.
func contextWithConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// abort ends the response so that the caller sees that it is incomplete. It does not return.
func (r *request) abort() { panic(http.ErrAbortHandler) }

// resetOnClose makes the connection of an HTTP/1.0 caller end with a reset, also if this process is
// killed. Such a caller takes an orderly close for the end of a complete response.
func (r *request) resetOnClose() { r.setLinger(0) }

// closeGracefully undoes resetOnClose once the response is complete.
func (r *request) closeGracefully() { r.setLinger(-1) }

func (r *request) setLinger(seconds int) {
	if r.incoming.ProtoAtLeast(1, 1) {
		return
	}
	raw := r.incoming.Context().Value(connectionKey{})
	if wrapped, ok := raw.(*callerConnection); ok {
		raw = wrapped.Conn
	}
	if connection, ok := raw.(*net.TCPConn); ok {
		// This fails only if the connection is closed already.
		_ = connection.SetLinger(seconds)
	}
}

// setWaiting records whether the request's connection waits for its caller.
func (r *request) setWaiting(waiting bool) {
	if connection, ok := r.incoming.Context().Value(connectionKey{}).(*callerConnection); ok {
		r.server.connections.setWaiting(connection, waiting)
	}
}
