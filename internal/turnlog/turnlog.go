// Package turnlog is an append-only log on a small disk. Append returns once its records are synced;
// appends that come while a sync runs share the next one. Each record has a checksum, and a torn
// end of the log, as a loss of power leaves it, is cut off when the log is opened.
//
// A file is never written again after a failure: what reached the disk then is not known, so the
// log goes on in a new file.
//
// Usage:
//
//	log, err := turnlog.Open(folder, func(payload []byte) { ... })
//	go log.Run(ctx)
//	err = log.Append(ctx, payloads, func() { ... what is durable now may be shown ... })
package turnlog

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/cockroachdb/errors"
)

const (
	frameHeaderBytes = 8
	maximalFrame     = 32 << 20
	segmentPattern   = "turns-%08d.log"
	segmentGlob      = "turns-*.log"
	queuedAppends    = 256
	// compactAbove and compactFactor tell when a log is rewritten: if it is larger than both.
	compactAbove  = 24 << 20
	compactFactor = 3
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

// ErrLog is a failure of the disk.
type ErrLog struct {
	Operation string
	cause     error
}

// Error implements error.
func (e *ErrLog) Error() string { return "turn log: " + e.Operation + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *ErrLog) Unwrap() error { return e.cause }

func failed(operation string, cause error) error {
	if cause == nil {
		return nil
	}
	return errors.WithStack(&ErrLog{Operation: operation, cause: cause})
}

type appending struct {
	payloads [][]byte
	apply    func()
	done     chan error
}

// Log is an open log. Append may be called concurrently.
type Log struct {
	folder string
	queue  chan appending
	// live returns all records that are still needed, for compaction.
	live func() [][]byte

	// The rest belongs to Run.
	file     *os.File
	number   int
	segments []string
	bytes    int64
	liveSize int64
}

// Open reads the log in folder, which must exist, and calls replay for each record in order. live
// is called from Run when the log has grown; it must return what is to be kept.
func Open(folder string, replay func(payload []byte), live func() [][]byte) (*Log, error) {
	log := &Log{folder: folder, queue: make(chan appending, queuedAppends), live: live}
	names, err := filepath.Glob(filepath.Join(folder, segmentGlob))
	if err != nil {
		return nil, failed("list", err)
	}
	slices.Sort(names)
	for _, name := range names {
		size, err := replaySegment(name, replay)
		if err != nil {
			return nil, err
		}
		log.bytes += size
		log.segments = append(log.segments, name)
		if _, err := fmt.Sscanf(filepath.Base(name), segmentPattern, &log.number); err != nil {
			return nil, failed("name of "+name, err)
		}
	}
	log.liveSize = log.bytes
	return log, nil
}

// replaySegment reads records up to the first damaged one; those behind it were never acknowledged.
func replaySegment(name string, replay func([]byte)) (int64, error) {
	file, err := os.Open(name)
	if err != nil {
		return 0, failed("open", err)
	}
	defer file.Close()
	reader := bufio.NewReaderSize(file, 256<<10)
	var size int64
	for {
		payload, err := readFrame(reader)
		if err != nil {
			return size, nil
		}
		size += int64(len(payload)) + frameHeaderBytes
		replay(payload)
	}
}

type damagedFrame struct{}

// Error implements error.
func (damagedFrame) Error() string { return "a record is damaged" }

func readFrame(reader io.Reader) ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, err
	}
	length := binary.LittleEndian.Uint32(header[:4])
	if length == 0 || length > maximalFrame {
		return nil, damagedFrame{}
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(reader, payload); err != nil {
		return nil, err
	}
	if crc32.Checksum(payload, checksums) != binary.LittleEndian.Uint32(header[4:]) {
		return nil, damagedFrame{}
	}
	return payload, nil
}

func appendFrame(buffer, payload []byte) []byte {
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(payload, checksums))
	return append(buffer, payload...)
}

// Append writes records and returns once they are synced. apply is called from Run when they are,
// before anything else is written: the log may be rewritten at any moment with what live returns, so
// what is durable must be in there. After an error the records may or may not be in the log.
func (l *Log) Append(ctx context.Context, payloads [][]byte, apply func()) error {
	request := appending{payloads: payloads, apply: apply, done: make(chan error, 1)}
	select {
	case l.queue <- request:
	case <-ctx.Done():
		return failed("append", ctx.Err())
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
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-l.queue:
			l.writeBatch(l.collect(first))
			l.compactIfLarge()
		}
	}
}

func (l *Log) collect(first appending) []appending {
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

func (l *Log) writeBatch(batch []appending) {
	var buffer []byte
	for _, request := range batch {
		for _, payload := range request.payloads {
			buffer = appendFrame(buffer, payload)
		}
	}
	err := l.write(buffer)
	for _, request := range batch {
		if err == nil {
			request.apply()
		}
		request.done <- err
	}
}

func (l *Log) write(buffer []byte) error {
	if err := l.openFile(); err != nil {
		return err
	}
	_, err := l.file.Write(buffer)
	if err == nil {
		err = syscall.Fdatasync(int(l.file.Fd()))
	}
	if err != nil {
		l.closeFile()
		return failed("write", err)
	}
	l.bytes += int64(len(buffer))
	return nil
}

// openFile starts a new segment if there is none; its name is synced before anything in it counts.
func (l *Log) openFile() error {
	if l.file != nil {
		return nil
	}
	l.number++
	name := filepath.Join(l.folder, fmt.Sprintf(segmentPattern, l.number))
	file, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return failed("create", err)
	}
	if err := SyncFolder(l.folder); err != nil {
		_ = file.Close()
		return err
	}
	l.file = file
	l.segments = append(l.segments, name)
	return nil
}

func (l *Log) closeFile() {
	if l.file != nil {
		_ = l.file.Close()
		l.file = nil
	}
}

// SyncFolder makes the names in a folder durable.
func SyncFolder(folder string) error {
	directory, err := os.Open(folder)
	if err != nil {
		return failed("open folder", err)
	}
	defer directory.Close()
	return failed("sync folder", directory.Sync())
}

// compactIfLarge rewrites the log with what is still needed. Until the new file is synced, the
// old ones stay.
func (l *Log) compactIfLarge() {
	if l.bytes < compactAbove || l.bytes < compactFactor*l.liveSize {
		return
	}
	old := l.segments
	l.segments = nil
	l.closeFile()
	var buffer []byte
	for _, payload := range l.live() {
		buffer = appendFrame(buffer, payload)
	}
	before := l.bytes
	l.bytes = 0
	if err := l.write(buffer); err != nil {
		l.segments = append(old, l.segments...)
		l.bytes = before
		l.liveSize = before
		return
	}
	l.liveSize = l.bytes
	for _, name := range old {
		_ = os.Remove(name)
	}
	_ = SyncFolder(l.folder)
}
