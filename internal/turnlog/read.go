package turnlog

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sync"
)

// Position locates a record in the log. It is valid until OnMove is called for the record.
type Position struct {
	segment int
	offset  int64
	length  int
}

// fileCache holds open files of segments for reading.
type fileCache struct {
	mutex sync.Mutex
	// files are keyed by segment number.
	files map[int]*os.File
}

func (c *fileCache) open(dir string, number int) (*os.File, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if file := c.files[number]; file != nil {
		return file, nil
	}
	file, err := os.Open(filepath.Join(dir, fmt.Sprintf(segmentPattern, number)))
	if err != nil {
		return nil, err
	}
	if c.files == nil {
		c.files = make(map[int]*os.File)
	}
	c.files[number] = file
	return file, nil
}

func (c *fileCache) drop(number int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if file := c.files[number]; file != nil {
		_ = file.Close()
		delete(c.files, number)
	}
}

func (c *fileCache) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for number, file := range c.files {
		_ = file.Close()
		delete(c.files, number)
	}
}

// Read returns the record at a position. It may be called concurrently. The error is an *ErrLog. Read may fail
// because the record was moved in the meantime; OnMove has then already been called with its new position.
func (l *Log) Read(position Position) ([]byte, error) {
	file, err := l.fileCache.open(l.options.Folder, position.segment)
	if err != nil {
		return nil, wrapError("read", err)
	}
	frame := make([]byte, frameHeaderBytes+position.length)
	if _, err := file.ReadAt(frame, position.offset); err != nil {
		return nil, wrapError("read", err)
	}
	payload, err := readFrame(bytes.NewReader(frame))
	return payload, wrapError("read", err)
}
