package upstream

import (
	"context"
	"io"
	"strings"
	"testing"
)

// BenchmarkExchange measures a request and its response on a kept connection.
func BenchmarkExchange(b *testing.B) {
	engine := startEngine(&testing.T{}, echo)
	defer engine.listener.Close()
	pool := engine.pool(1)
	request := post(strings.Repeat("x", 1000))
	b.ReportAllocs()
	for b.Loop() {
		exchange, err := pool.Send(context.Background(), request)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, exchange.Response().Body); err != nil {
			b.Fatal(err)
		}
		exchange.Finish()
	}
}
