package ingress

import (
	"bytes"
	"net"
	"strconv"

	"github.com/mountstile/mountstile/internal/events"
)

// net/http itself responds to malformed requests, such as those with an oversized head or without a
// host, and doesn't log them. It writes such a response in one call and, unlike those of handlers,
// without a Date header. Listener recognizes them by this and logs them like other refused
// requests.
var (
	clientErrorPrefix = []byte("HTTP/1.1 4")
	dateHeader        = []byte("\r\nDate: ")
)

// statusEnd is the offset after the three digits of the status.
const statusEnd = len("HTTP/1.1 400")

// Listener wraps the listener for callers' connections to log requests that net/http refuses before
// they reach a handler.
func (n *Node) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, server: n.server}
}

type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener. It closes connections beyond the limit, whose requests are not read.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		connection := &callerConnection{Conn: accepted, server: l.server, head: l.server.options.Memory.Open("request head"), inHead: true}
		if l.server.connections.admit(connection) {
			return connection, nil
		}
		_ = accepted.Close()
	}
}

// Write implements net.Conn.
func (c *callerConnection) Write(data []byte) (int, error) {
	if isServerRefusal(data) {
		c.server.logMalformed(c.Conn, data)
	}
	return c.Conn.Write(data)
}

// isServerRefusal reports whether net/http wrote the response. Bytes of a body may begin like one.
func isServerRefusal(data []byte) bool {
	line, _, complete := bytes.Cut(data, []byte("\r\n"))
	return complete && len(line) >= statusEnd && bytes.HasPrefix(line, clientErrorPrefix) && !bytes.Contains(data, dateHeader)
}

func (s *Server) logMalformed(connection net.Conn, response []byte) {
	if !s.logLimit.allow(true) {
		s.options.Metrics.countDroppedLine()
		return
	}
	line, _, _ := bytes.Cut(response, []byte("\r\n"))
	status, _ := strconv.Atoi(string(line[statusEnd-len("400") : statusEnd]))
	s.options.Logger.Emit(events.RequestMalformed, events.F("status", status),
		events.F("reason", string(bytes.TrimSpace(line[statusEnd:]))), events.F("remote", connection.RemoteAddr().String()))
}
