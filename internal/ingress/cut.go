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
func (r *request) cut() { panic(http.ErrAbortHandler) }

// endByReset makes the connection of a caller of HTTP/1.0 end by a reset from now on, also if this process is killed: such a caller
// takes an orderly end of the connection for that of its answer.
func (r *request) endByReset() { r.setLinger(0) }

// endInOrder takes that back, for the answer is whole.
func (r *request) endInOrder() { r.setLinger(-1) }

func (r *request) setLinger(seconds int) {
	if r.http.ProtoAtLeast(1, 1) {
		return
	}
	if connection, ok := r.http.Context().Value(connectionKey{}).(*net.TCPConn); ok {
		// It fails only on a connection that has ended.
		_ = connection.SetLinger(seconds)
	}
}
