package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run. All methods may be called concurrently.
type record struct {
	startedAt time.Time
	mutex     sync.Mutex
	file      *os.File
	writer    *bufio.Writer
}

func openRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{startedAt: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// write adds a line that begins with the seconds since the start.
func (r *record) write(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%8.3f %s\n", time.Since(r.startedAt).Seconds(), line)
}

// conclude adds a line and prints it.
func (r *record) conclude(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	fmt.Println(line)
	r.write("%s", line)
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
