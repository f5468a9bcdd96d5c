// Package memorylog is a log in memory that a test reads while processes write it.
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

// Log is an io.Writer that keeps what it gets. The zero value is ready for use; all methods may be called
// concurrently.
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

// Text is all that was written.
func (l *Log) Text() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.buffer.String()
}

// Count is how often a text was written.
func (l *Log) Count(text string) int { return strings.Count(l.Text(), text) }
