package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	resetTestRuns = 100
	// resetTestBody exceeds what the kernel buffers, so that the request is still being written when its response comes.
	resetTestBody = 16 << 20
)

// Guards against a response without a length that is taken for whole because the write of its request has met the reset.
func TestResetDuringTheWriteInterruptsTheResponse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go answerAndReset(listener)
	pool := NewPool(listener.Addr().String(), 4, Dialer(time.Second, time.Second))
	t.Cleanup(pool.Close)
	body := bytes.Repeat([]byte("x"), resetTestBody)
	for run := range resetTestRuns {
		exchange, err := pool.Send(context.Background(), &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: make(http.Header), Body: body})
		if err != nil {
			continue
		}
		_, err = io.ReadAll(exchange.Response().Body)
		exchange.Abort()
		assert.Assert(t, err != nil, "run %d: the response was taken for whole", run)
	}
}

// answerAndReset answers each connection with a part of a response, without reading the request, and resets it.
func answerAndReset(listener net.Listener) {
	for {
		raw, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(raw, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
		time.AfterFunc(2*time.Millisecond, func() {
			_ = raw.(*net.TCPConn).SetLinger(0)
			_ = raw.Close()
		})
	}
}

// A response without a length that ends in order is whole, also if its request was not read to its end.
func TestOrderlyCloseEndsTheResponse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		raw, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(raw, make([]byte, 1000))
		_, _ = io.WriteString(raw, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole")
		_ = raw.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, raw)
	}()
	pool := NewPool(listener.Addr().String(), 4, Dialer(time.Second, time.Second))
	t.Cleanup(pool.Close)
	exchange, err := pool.Send(context.Background(), &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: make(http.Header), Body: make([]byte, 1<<20)})
	assert.NilError(t, err)
	whole, err := io.ReadAll(exchange.Response().Body)
	assert.NilError(t, err)
	assert.Equal(t, string(whole), "whole")
	exchange.Abort()
}
