// Package memorylog is an in-memory log that a test can read while other goroutines write to it.
//
// Usage:
//
//	var log memorylog.Log
//	logger := events.NewLogger(&log, logrus.InfoLevel, "node")
//	... strings.Contains(log.Text(), "node_ready") ...
package memorylog

import (
	"bytes"
	"strings"
	"sync"
)

// Log is an io.Writer that keeps everything written to it. The zero value is ready for use. It is safe for
// concurrent use.
type Log struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (l *Log) Write(data []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.buffer.Write(data)
}

// Text returns everything written so far.
func (l *Log) Text() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.buffer.String()
}

// Count returns the number of occurrences of text.
func (l *Log) Count(text string) int { return strings.Count(l.Text(), text) }
