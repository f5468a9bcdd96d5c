package turnlog

import (
	"bufio"
	"os"
)

// collectStep is how many bytes of an old segment are read after a small write. After a large one it is twice
// as many as were written, so that the log shrinks.
const collectStep = 128 << 10

// collection is the reading of the oldest segment.
type collection struct {
	file   *os.File
	reader *bufio.Reader
	kept   int64
}

// collectOldest goes on with the oldest segment while the log is large: what is needed of it is
// appended again. The segment is removed only when all of that is synced.
func (l *Log) collectOldest(step int) {
	if l.collecting == nil && !l.beginCollection() {
		return
	}
	var needed [][]byte
	ended := false
	for read := 0; read < step && !ended; {
		payload, err := readFrame(l.collecting.reader)
		if err != nil {
			ended = true
			break
		}
		read += len(payload) + frameHeaderBytes
		if l.options.IsLive == nil || l.options.IsLive(payload) {
			needed = append(needed, payload)
		}
	}
	if len(needed) > 0 && !l.keep(needed) {
		l.endCollection()
		return
	}
	if ended {
		l.removeOldest()
	}
}

// keep appends records once more and tells where they lie now.
func (l *Log) keep(needed [][]byte) bool {
	positions, written, err := l.write(needed)
	if err != nil {
		return false
	}
	l.collecting.kept += int64(written)
	if l.options.OnMove == nil {
		return true
	}
	for index, payload := range needed {
		l.options.OnMove(payload, positions[index])
	}
	return true
}

func (l *Log) beginCollection() bool {
	if l.bytes < l.collectAbove || len(l.segments) < 2 {
		return false
	}
	file, err := os.Open(l.segments[0].name)
	if err != nil {
		return false
	}
	l.collecting = &collection{file: file, reader: bufio.NewReaderSize(file, readBufferBytes)}
	return true
}

func (l *Log) endCollection() {
	_ = l.collecting.file.Close()
	l.collecting = nil
}

// removeOldest removes the segment that was read to its end. If most of it was still needed, the log
// has to grow further before the next one is read: reading again what is needed gains nothing.
func (l *Log) removeOldest() {
	oldest := l.segments[0]
	kept := l.collecting.kept
	l.endCollection()
	l.readers.drop(oldest.number)
	if os.Remove(oldest.name) != nil {
		return
	}
	_ = SyncDir(l.options.Folder)
	l.segments = l.segments[1:]
	l.bytes -= oldest.bytes
	if 2*kept > oldest.bytes {
		l.collectAbove += oldest.bytes
	}
}
