package turnlog

import (
	"bufio"
	"os"
)

// After each write, twice the written bytes are read from the oldest segment, so that the log shrinks, but at least
// minCompactionStepBytes.
const minCompactionStepBytes = 128 << 10

// compaction is the state of compacting the oldest segment; liveBytes is the size of its live records read so far.
type compaction struct {
	file      *os.File
	reader    *bufio.Reader
	liveBytes int64
}

// compact continues reading the oldest segment, if the log is large enough, and appends its live records to the
// log again. The segment is removed only after all of them are synced.
func (l *Log) compact(stepBytes int) {
	if l.compacting == nil && !l.beginCompaction() {
		return
	}
	var live [][]byte
	liveBytes := 0
	ended := false
	for read := 0; read < stepBytes && !ended; {
		payload, err := readFrame(l.compacting.reader)
		if err != nil {
			ended = true
			break
		}
		read += len(payload) + frameHeaderBytes
		if l.options.IsLive == nil || l.options.IsLive(payload) {
			live = append(live, payload)
			liveBytes += len(payload)
		}
		if liveBytes < maxWriteBytes {
			continue
		}
		if !l.rewrite(live) {
			l.endCompaction()
			return
		}
		live, liveBytes = nil, 0
	}
	if len(live) > 0 && !l.rewrite(live) {
		l.endCompaction()
		return
	}
	if ended {
		l.removeOldest()
	}
}

// rewrite appends live records again and reports their new positions to OnMove.
func (l *Log) rewrite(live [][]byte) bool {
	positions, written, err := l.write(live)
	if err != nil {
		return false
	}
	l.compacting.liveBytes += int64(written)
	if l.options.OnMove == nil {
		return true
	}
	for index, payload := range live {
		l.options.OnMove(payload, positions[index])
	}
	return true
}

func (l *Log) beginCompaction() bool {
	if l.bytes < l.compactionThreshold || len(l.segments) < 2 {
		return false
	}
	file, err := os.Open(l.segments[0].name)
	if err != nil {
		return false
	}
	l.compacting = &compaction{file: file, reader: bufio.NewReaderSize(file, readBufferBytes)}
	return true
}

func (l *Log) endCompaction() {
	_ = l.compacting.file.Close()
	l.compacting = nil
}

// removeOldest removes the oldest segment after it was read to its end. If most of it was live, the threshold
// is raised, since rewriting live records frees no space.
func (l *Log) removeOldest() {
	oldest := l.segments[0]
	liveBytes := l.compacting.liveBytes
	l.endCompaction()
	l.fileCache.drop(oldest.number)
	if os.Remove(oldest.name) != nil {
		return
	}
	_ = SyncDir(l.options.Folder)
	l.segments = l.segments[1:]
	l.bytes -= oldest.bytes
	if 2*liveBytes > oldest.bytes {
		l.compactionThreshold += oldest.bytes
	}
}
