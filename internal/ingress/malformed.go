package ingress

import (
	"bytes"
	"net"
	"strconv"

	"github.com/mountstile/mountstile/internal/events"
)

// net/http answers what is no request by itself, without a word: a head that is too large, a missing host, a head
// that can't be read. Such answers go to the connection in one piece, and unlike those of handlers they have no
// date. A Listener notices them, so that they get their log line like all other refusals.
var (
	clientErrorStart = []byte("HTTP/1.1 4")
	dateHeader       = []byte("\r\nDate: ")
)

// statusEnd is where the status of "HTTP/1.1 400" ends; it begins three bytes before.
const statusEnd = len("HTTP/1.1 400")

// Listener returns a listener for callers' connections that logs refusals which no handler sees.
func (n *Node) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, server: n.server}
}

type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConnection{Conn: accepted, server: l.server}, nil
}

type callerConnection struct {
	net.Conn
	server *Server
}

// Write implements net.Conn.
func (c *callerConnection) Write(data []byte) (int, error) {
	if bytes.HasPrefix(data, clientErrorStart) && !bytes.Contains(data, dateHeader) {
		c.server.logMalformed(c.Conn, data)
	}
	return c.Conn.Write(data)
}

func (s *Server) logMalformed(connection net.Conn, answer []byte) {
	if !s.lines.allows(true) {
		s.options.Metrics.lineDropped()
		return
	}
	line, _, _ := bytes.Cut(answer, []byte("\r\n"))
	status, _ := strconv.Atoi(string(line[statusEnd-len("400") : statusEnd]))
	s.options.Logger.Emit(events.RequestMalformed, events.F("status", status),
		events.F("reason", string(bytes.TrimSpace(line[statusEnd:]))), events.F("remote", connection.RemoteAddr().String()))
}
