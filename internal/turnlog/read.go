package turnlog

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sync"
)

// Position is where a record lies in the log. It holds until OnMove is called for the record.
type Position struct {
	segment int
	offset  int64
	length  int
}

// readers are the open files of segments that were read from.
type readers struct {
	mutex sync.Mutex
	files map[int]*os.File
}

func (r *readers) open(folder string, number int) (*os.File, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if file := r.files[number]; file != nil {
		return file, nil
	}
	file, err := os.Open(filepath.Join(folder, fmt.Sprintf(segmentPattern, number)))
	if err != nil {
		return nil, err
	}
	if r.files == nil {
		r.files = make(map[int]*os.File)
	}
	r.files[number] = file
	return file, nil
}

func (r *readers) drop(number int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if file := r.files[number]; file != nil {
		_ = file.Close()
		delete(r.files, number)
	}
}

func (r *readers) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for number, file := range r.files {
		_ = file.Close()
		delete(r.files, number)
	}
}

// Read returns a record that was written. It may be called concurrently. The error is an ErrLog; it also
// comes if the record was moved meanwhile, and then its new position is known already.
func (l *Log) Read(at Position) ([]byte, error) {
	file, err := l.readers.open(l.options.Folder, at.segment)
	if err != nil {
		return nil, failed("read", err)
	}
	frame := make([]byte, frameHeaderBytes+at.length)
	if _, err := file.ReadAt(frame, at.offset); err != nil {
		return nil, failed("read", err)
	}
	payload, err := readFrame(bytes.NewReader(frame))
	return payload, failed("read", err)
}
