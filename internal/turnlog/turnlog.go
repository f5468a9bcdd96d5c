// Package turnlog is an append-only log on a small disk. Append returns once its records are synced;
// appends that come while a sync runs share the next one. Each record has a checksum, and a torn
// end of the log, as a loss of power leaves it, is cut off when the log is opened.
//
// The log is a row of segments. Once it is large, the oldest segment is read again, a little with each
// write; what is still needed of it is appended once more, and the segment is removed. So no write waits for
// a whole log to be rewritten, and no more than a small part of it is in memory. Records may come back in
// another order than they were written in, and more than once.
//
// A file is never written again after a failure: what reached the disk then is not known, so the
// log goes on in a new file.
//
// Usage:
//
//	log, err := turnlog.Open(turnlog.Options{Folder: folder, Replay: ..., IsLive: ...})
//	go log.Run(ctx)
//	err = log.Append(ctx, payloads, func() { ... what is durable now may be shown ... })
package turnlog

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/cockroachdb/errors"
)

const (
	segmentPattern = "turns-%08d.log"
	segmentGlob    = "turns-*.log"
	// queuedAppends is how many appends may wait for the disk; all that wait are written together. With its record,
	// the question that brought it and two goroutines each takes some 50 kB of a replica's memory.
	queuedAppends = 256
	// segmentBytes is the size from which a new segment is begun.
	segmentBytes = 4 << 20
	// defaultCollectAbove is the size of the log, in bytes, from which old segments are collected.
	defaultCollectAbove = 64 << 20
)

// ErrLog is a failure of the disk.
type ErrLog struct {
	Operation string
	cause     error
}

// Error implements error.
func (e *ErrLog) Error() string { return "turn log: " + e.Operation + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *ErrLog) Unwrap() error { return e.cause }

// errBusy means that the disk does not keep up.
type errBusy struct{}

// Error implements error.
func (errBusy) Error() string { return "too many records wait for the disk" }

func failed(operation string, cause error) error {
	if cause == nil {
		return nil
	}
	return errors.WithStack(&ErrLog{Operation: operation, cause: cause})
}

// Options configure a Log.
type Options struct {
	// Folder must exist.
	Folder string
	// Replay is called by Open for each record.
	Replay func(payload []byte, at Position)
	// IsLive tells whether a record of an old segment must be kept. It is called from Run. Nil keeps all.
	IsLive func(payload []byte) bool
	// OnMove is called from Run when a record that is needed lies elsewhere from now on. It may be nil.
	OnMove func(payload []byte, at Position)
	// CompactionThreshold is the size of the log, in bytes, from which old segments are collected; 0 stands for
	// 64 MB.
	CompactionThreshold int64
}

type appending struct {
	payloads [][]byte
	apply    func(at []Position)
	done     chan error
}

// segment is one file of the log.
type segment struct {
	name   string
	number int
	bytes  int64
}

// Log is an open log. Append may be called concurrently.
type Log struct {
	options Options
	queue   chan appending

	// The rest belongs to Run.
	file   *os.File
	number int
	// segments are the files, oldest first; the last one is written if file is open.
	segments []segment
	bytes    int64
	// collectAbove rises if most of what is collected is still needed.
	collectAbove int64
	collecting   *collection

	readers readers
}

// Open reads the log in a folder.
func Open(options Options) (*Log, error) {
	log := &Log{options: options, queue: make(chan appending, queuedAppends), collectAbove: options.CompactionThreshold}
	if log.collectAbove == 0 {
		log.collectAbove = defaultCollectAbove
	}
	names, err := filepath.Glob(filepath.Join(options.Folder, segmentGlob))
	if err != nil {
		return nil, failed("list", err)
	}
	slices.Sort(names)
	for _, name := range names {
		if _, err := fmt.Sscanf(filepath.Base(name), segmentPattern, &log.number); err != nil {
			return nil, failed("name of "+name, err)
		}
		size, err := replaySegment(name, log.number, options.Replay)
		if err != nil {
			return nil, err
		}
		log.bytes += size
		log.segments = append(log.segments, segment{name: name, number: log.number, bytes: size})
	}
	return log, nil
}

// Append writes records and returns once they are synced. apply is called from Run when they are,
// before anything else is written, and gets where each record lies: IsLive may be called for them at any moment from then on. After an error
// the records may or may not be in the log. While the disk stands still and many wait already, it fails at
// once: what waits is memory, and others have the records.
func (l *Log) Append(ctx context.Context, payloads [][]byte, apply func(at []Position)) error {
	request := appending{payloads: payloads, apply: apply, done: make(chan error, 1)}
	select {
	case l.queue <- request:
	default:
		return failed("append", errBusy{})
	}
	select {
	case err := <-request.done:
		return err
	case <-ctx.Done():
		return failed("append", ctx.Err())
	}
}

// Run writes what is appended until the context ends.
func (l *Log) Run(ctx context.Context) {
	defer l.closeFile()
	defer l.readers.close()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-l.queue:
			written := l.writeBatch(l.takeQueued(first))
			l.collectOldest(max(collectStep, 2*written))
		}
	}
}

func (l *Log) takeQueued(first appending) []appending {
	batch := []appending{first}
	for {
		select {
		case next := <-l.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
}

// writeBatch returns how many bytes it wrote.
func (l *Log) writeBatch(batch []appending) int {
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
		request.done <- err
	}
	return written
}

// write appends records, syncs them, and returns where they lie.
func (l *Log) write(payloads [][]byte) (positions []Position, written int, err error) {
	if err := l.openFile(); err != nil {
		return nil, 0, err
	}
	current := &l.segments[len(l.segments)-1]
	var buffer []byte
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
		return failed("write", err)
	}
	return failed("sync", syscall.Fdatasync(int(l.file.Fd())))
}

// openFile starts a new segment if there is none; its name is synced before anything in it counts.
func (l *Log) openFile() error {
	if l.file != nil {
		return nil
	}
	l.number++
	name := filepath.Join(l.options.Folder, fmt.Sprintf(segmentPattern, l.number))
	file, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return failed("create", err)
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

// SyncDir makes the names in a folder durable.
func SyncDir(folder string) error {
	directory, err := os.Open(folder)
	if err != nil {
		return failed("open folder", err)
	}
	defer directory.Close()
	return failed("sync folder", directory.Sync())
}
