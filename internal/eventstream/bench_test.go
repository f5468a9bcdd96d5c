package eventstream

import (
	"fmt"
	"testing"
)

// BenchmarkStream measures a resumable stream of short events that arrive one by one.
func BenchmarkStream(b *testing.B) {
	var events [][]byte
	for id := range 100 {
		events = append(events, fmt.Appendf(nil, "id: %d\ndata: {\"text\": \"a word or two\"}\n\n", id+1))
	}
	b.ReportAllocs()
	for b.Loop() {
		stream := New(Options{Resumable: true})
		if err := stream.Begin(eventHead); err != nil {
			b.Fatal(err)
		}
		for _, event := range events {
			if _, err := stream.Feed(event); err != nil {
				b.Fatal(err)
			}
		}
		if _, err := stream.End(); err != nil {
			b.Fatal(err)
		}
	}
}
