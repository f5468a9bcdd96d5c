package ingress

import (
	"context"
	"net"
	"net/http"
)

// connectionKey is where a request's context holds its connection.
type connectionKey struct{}

// withConnection is the http.Server.ConnContext of gateways.
func withConnection(ctx context.Context, connection net.Conn) context.Context {
	if wrapped, ok := connection.(*callerConnection); ok {
		connection = wrapped.Conn
	}
	return context.WithValue(ctx, connectionKey{}, connection)
}

// cut ends an answer so that it can't look whole. It does not return.
func (r *request) cut() {
	if !r.http.ProtoAtLeast(1, 1) {
		r.reset()
	}
	panic(http.ErrAbortHandler)
}

// reset makes the connection end by a reset: a caller of HTTP/1.0 takes an orderly end of the connection for that of its answer.
func (r *request) reset() {
	if connection, ok := r.http.Context().Value(connectionKey{}).(*net.TCPConn); ok {
		// It fails only on a connection that has ended.
		_ = connection.SetLinger(0)
	}
}
