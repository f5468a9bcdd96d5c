package events

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueCapacity is the maximum number of lines that wait to be written.
const queueCapacity = 2048

// closeTimeout limits how long Close waits for an output that nobody reads.
const closeTimeout = 200 * time.Millisecond

// QueuedWriter writes lines in the background. A line is dropped and counted if the queue is full, so that
// logging never delays a request.
type QueuedWriter struct {
	output    io.Writer
	lines     chan []byte
	done      chan struct{}
	closeOnce sync.Once
	dropped   atomic.Int64
}

// NewQueuedWriter returns a QueuedWriter that writes to output and starts its goroutine; Close ends it.
func NewQueuedWriter(output io.Writer) *QueuedWriter {
	writer := &QueuedWriter{output: output, lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go writer.run()
	return writer
}

// Write implements io.Writer. It copies the line, never blocks and never fails.
func (w *QueuedWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (w *QueuedWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops. Lines written after Close, or not written within closeTimeout, are lost.
func (w *QueuedWriter) Close() {
	w.closeOnce.Do(func() {
		timer := time.NewTimer(closeTimeout)
		defer timer.Stop()
		select {
		case w.lines <- nil:
		case <-timer.C:
			return
		}
		select {
		case <-w.done:
		case <-timer.C:
		}
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
