package events

import (
	"io"
	"sync"
	"sync/atomic"
)

// queuedLines is how many lines may wait to be written.
const queuedLines = 2048

// QueuedWriter writes lines in the background. A line that comes while the queue is full is dropped
// and counted, so that logging never holds up a request.
type QueuedWriter struct {
	output  io.Writer
	lines   chan []byte
	done    chan struct{}
	once    sync.Once
	dropped atomic.Int64
}

// NewQueuedWriter returns a writer to output.
func NewQueuedWriter(output io.Writer) *QueuedWriter {
	writer := &QueuedWriter{output: output, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go writer.run()
	return writer
}

// Write implements io.Writer; it never waits and never fails.
func (w *QueuedWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is how many lines were dropped so far.
func (w *QueuedWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits. Lines that come later are lost.
func (w *QueuedWriter) Close() {
	w.once.Do(func() {
		w.lines <- nil
		<-w.done
	})
}

func (w *QueuedWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		_, _ = w.output.Write(line)
	}
}
