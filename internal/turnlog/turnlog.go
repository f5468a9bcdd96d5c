// Package turnlog is an append-only log with group commit: Append returns once its records are synced, and
// appends that arrive during a sync share the next one. Each record has a checksum. A torn write at the end of
// a segment, as left by a power failure, is ignored when the log is opened.
//
// The log consists of segments. Once it exceeds a threshold, it is compacted incrementally: after each write, a
// part of the oldest segment is read and its live records are appended again; then the segment is removed.
// No write waits for the whole log to be rewritten, and only a small part of the log is in memory.
// Records may be replayed in a different order than they were written, and more than once.
//
// A file is never written again after a write error, because it is unknown what reached the disk; the log
// continues in a new segment.
//
// Usage:
//
//	log, err := turnlog.Open(turnlog.Options{Folder: dir, Replay: ..., IsLive: ...})
//	go log.Run(ctx)
//	err = log.Append(ctx, payloads, func(positions []turnlog.Position) { ... the records are durable ... })
package turnlog

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
)

const (
	segmentPattern = "turns-%08d.log"
	segmentGlob    = "turns-*.log"
	// maxQueuedAppends bounds the appends that wait for the disk, and so the memory of the requests behind them.
	maxQueuedAppends = 256
	// defaultQueuedBytes is the default of Options.QueuedBytes.
	defaultQueuedBytes = 32 << 20
	// maxWriteBytes is the size at which no further records are added to a write.
	maxWriteBytes = 2 << 20
	// segmentBytes is the size at which a segment is closed and a new one is started.
	segmentBytes = 4 << 20
	// defaultCompactionThreshold is the default of Options.CompactionThreshold, in bytes.
	defaultCompactionThreshold = 64 << 20
)

// ErrLog means that an operation on the log failed, for example because of a disk error, a full queue or an ended
// context.
type ErrLog struct {
	Operation string
	cause     error
}

// Error implements error.
func (e *ErrLog) Error() string { return "turn log: " + e.Operation + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *ErrLog) Unwrap() error { return e.cause }

// errQueueFull means that the disk does not keep up with the appends.
type errQueueFull struct{}

// Error implements error.
func (errQueueFull) Error() string { return "too many appends are waiting for the disk" }

// IsQueueFull reports whether an append failed because the disk does not keep up. Its records will not be written.
func IsQueueFull(err error) bool { return errors.Is(err, errQueueFull{}) }

// wrapError returns an *ErrLog, or nil if there is no cause.
func wrapError(operation string, cause error) error {
	if cause == nil {
		return nil
	}
	return errors.WithStack(&ErrLog{Operation: operation, cause: cause})
}

// Options configures a Log.
type Options struct {
	// Folder is the directory of the segments. It must exist.
	Folder string
	// Replay is called by Open for each record.
	Replay func(payload []byte, position Position)
	// IsLive reports whether a record must survive compaction. It is called from Run. Nil keeps all records.
	IsLive func(payload []byte) bool
	// OnMove is called from Run with the new position of a record that compaction has moved. It may be nil.
	OnMove func(payload []byte, position Position)
	// CompactionThreshold is the size of the log, in bytes, from which old segments are compacted. The default
	// is 64 MiB.
	CompactionThreshold int64
	// QueuedBytes bounds the records that wait for the disk; a single append may be larger. The default is 32 MiB.
	QueuedBytes int64
}

type appendRequest struct {
	payloads [][]byte
	bytes    int64
	apply    func(positions []Position)
	done     chan error
}

// segment is one file of the log.
type segment struct {
	name   string
	number int
	bytes  int64
}

// Log is an open log. Append and Read may be called concurrently.
type Log struct {
	options Options
	queue   chan appendRequest
	// queuedBytes is the size of the records that are queued or being written.
	queuedBytes atomic.Int64

	// The fields up to compacting are accessed only by Run once the log is open.

	// file is the segment being written, or nil. number is the number of the last segment.
	file   *os.File
	number int
	// segments are ordered from oldest to newest. If file is not nil, it is the last one.
	segments []segment
	// bytes is the size of all segments.
	bytes int64
	// compactionThreshold is raised when compaction finds mostly live records.
	compactionThreshold int64
	compacting          *compaction

	fileCache fileCache
}

// Open replays the log in a directory, which may be empty.
func Open(options Options) (*Log, error) {
	log := &Log{options: options, queue: make(chan appendRequest, maxQueuedAppends), compactionThreshold: options.CompactionThreshold}
	if log.compactionThreshold == 0 {
		log.compactionThreshold = defaultCompactionThreshold
	}
	if log.options.QueuedBytes == 0 {
		log.options.QueuedBytes = defaultQueuedBytes
	}
	names, err := filepath.Glob(filepath.Join(options.Folder, segmentGlob))
	if err != nil {
		return nil, wrapError("list", err)
	}
	slices.Sort(names)
	for _, name := range names {
		number, valid := segmentNumber(name)
		if !valid {
			continue
		}
		log.number = number
		size, err := replaySegment(name, log.number, options.Replay)
		if err != nil {
			return nil, err
		}
		log.bytes += size
		log.segments = append(log.segments, segment{name: name, number: log.number, bytes: size})
	}
	return log, nil
}

// segmentNumber returns the number of the segment with a file name, and false if the file is no segment.
func segmentNumber(name string) (int, bool) {
	var number int
	base := filepath.Base(name)
	_, err := fmt.Sscanf(base, segmentPattern, &number)
	return number, err == nil && base == fmt.Sprintf(segmentPattern, number)
}

// Append writes records and returns once they are synced and applied: after the sync and before any other write, Run
// calls apply with the position of each record. From then on IsLive may be called for these records at any time.
// After an error, the records may or may not be in the log. If the disk hangs and the queue is full, Append
// fails at once, because queued appends take memory and other replicas have the records.
func (l *Log) Append(ctx context.Context, payloads [][]byte, apply func(positions []Position)) error {
	request := appendRequest{payloads: payloads, bytes: frameBytes(payloads), apply: apply, done: make(chan error, 1)}
	if !l.enqueue(request) {
		return wrapError("append", errQueueFull{})
	}
	select {
	case err := <-request.done:
		return err
	case <-ctx.Done():
		return wrapError("append", ctx.Err())
	}
}

// enqueue queues an append unless the queue is full. The bytes count until they are written, also if the caller has gone.
func (l *Log) enqueue(request appendRequest) bool {
	queued := l.queuedBytes.Add(request.bytes)
	if queued <= l.options.QueuedBytes || queued == request.bytes {
		select {
		case l.queue <- request:
			return true
		default:
		}
	}
	l.queuedBytes.Add(-request.bytes)
	return false
}

// Queued returns the number of appends that wait for the disk.
func (l *Log) Queued() int { return len(l.queue) }

// Run writes queued appends and compacts the log until the context ends.
func (l *Log) Run(ctx context.Context) {
	defer l.closeFile()
	defer l.fileCache.close()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-l.queue:
			written := l.writeBatch(l.takeQueued(first))
			l.compact(max(minCompactionStepBytes, 2*written))
		}
	}
}

// takeQueued returns first and the queued appends that fit into the same write.
func (l *Log) takeQueued(first appendRequest) []appendRequest {
	batch := []appendRequest{first}
	for size := first.bytes; ; size += batch[len(batch)-1].bytes {
		if size >= maxWriteBytes {
			return batch
		}
		select {
		case next := <-l.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
}

// writeBatch writes and syncs a batch of appends, completes them, and returns the number of bytes written.
func (l *Log) writeBatch(batch []appendRequest) int {
	var payloads [][]byte
	for _, request := range batch {
		payloads = append(payloads, request.payloads...)
	}
	positions, written, err := l.write(payloads)
	for _, request := range batch {
		if err == nil {
			request.apply(positions[:len(request.payloads)])
			positions = positions[len(request.payloads):]
		}
		l.queuedBytes.Add(-request.bytes)
		request.done <- err
	}
	return written
}

// write appends records to the log, syncs them, and returns their positions.
func (l *Log) write(payloads [][]byte) (positions []Position, written int, err error) {
	if err := l.openFile(); err != nil {
		return nil, 0, err
	}
	current := &l.segments[len(l.segments)-1]
	buffer := make([]byte, 0, frameBytes(payloads))
	for _, payload := range payloads {
		positions = append(positions, Position{segment: current.number, offset: current.bytes + int64(len(buffer)), length: len(payload)})
		buffer = appendFrame(buffer, payload)
	}
	if err := l.sync(buffer); err != nil {
		l.closeFile()
		return nil, 0, err
	}
	l.bytes += int64(len(buffer))
	current.bytes += int64(len(buffer))
	if current.bytes >= segmentBytes {
		l.closeFile()
	}
	return positions, len(buffer), nil
}

func (l *Log) sync(buffer []byte) error {
	if _, err := l.file.Write(buffer); err != nil {
		return wrapError("write", err)
	}
	return wrapError("sync", syscall.Fdatasync(int(l.file.Fd())))
}

// openFile starts a new segment unless one is open. It syncs the directory, so that the file itself is durable
// before any record in it is acknowledged.
func (l *Log) openFile() error {
	if l.file != nil {
		return nil
	}
	l.number++
	name := filepath.Join(l.options.Folder, fmt.Sprintf(segmentPattern, l.number))
	file, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return wrapError("create", err)
	}
	if err := SyncDir(l.options.Folder); err != nil {
		_ = file.Close()
		return err
	}
	l.file = file
	l.segments = append(l.segments, segment{name: name, number: l.number})
	return nil
}

func (l *Log) closeFile() {
	if l.file != nil {
		_ = l.file.Close()
		l.file = nil
	}
}

// SyncDir syncs a directory, which makes file creations and renames in it durable.
func SyncDir(dir string) error {
	file, err := os.Open(dir)
	if err != nil {
		return wrapError("open directory", err)
	}
	defer file.Close()
	return wrapError("sync directory", file.Sync())
}
