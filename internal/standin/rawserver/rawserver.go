// Package rawserver is an HTTP/1.1 server that responds to each request with given bytes, as a faulty server does. It keeps its connections open,
// so that tests can tell which ones its client uses again.
//
// Usage:
//
//	server, err := rawserver.Start(func(request *http.Request) string { return "HTTP/1.1 000 None\r\n\r\n" })
//	defer server.Close()
//	... http.Get(server.URL()) ...
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
)

// Server is a running server. All methods may be called concurrently.
type Server struct {
	listener net.Listener
	respond  func(*http.Request) string

	mutex       sync.Mutex
	connections []net.Conn
	requests    int
	reuses      int
	closed      bool
}

// Start starts a server on a free loopback port. respond returns the bytes to send; it may be called concurrently.
func Start(respond func(*http.Request) string) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &Server{listener: listener, respond: respond}
	go server.accept()
	return server, nil
}

// Address returns the host and port where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// URL returns the server's URL, without a path.
func (s *Server) URL() string { return "http://" + s.Address() }

// Requests returns the number of requests so far.
func (s *Server) Requests() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.requests
}

// Reuses returns the number of requests so far that were not the first one of their connection.
func (s *Server) Reuses() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reuses
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	_ = s.listener.Close()
	for _, connection := range s.connections {
		_ = connection.Close()
	}
}

func (s *Server) accept() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(connection)
	}
}

func (s *Server) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	if !s.add(connection) {
		return
	}
	reader := bufio.NewReader(connection)
	for isFirst := true; ; isFirst = false {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		s.count(isFirst)
		if _, err := io.WriteString(connection, s.respond(request)); err != nil {
			return
		}
	}
}

func (s *Server) count(isFirst bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.requests++
	if !isFirst {
		s.reuses++
	}
}

// add records a connection. It returns false if the server is closed.
func (s *Server) add(connection net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.connections = append(s.connections, connection)
	return !s.closed
}
