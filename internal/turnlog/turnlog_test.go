package turnlog

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// testCompactionThreshold, in bytes, is small so that the tests need little data.
const testCompactionThreshold = 12 << 20

func open(t *testing.T, dir string, isLive func([]byte) bool) (*Log, []string, func()) {
	t.Helper()
	var replayed []string
	log, err := Open(Options{
		Folder: dir, Replay: func(payload []byte, _ Position) { replayed = append(replayed, string(payload)) }, IsLive: isLive,
		CompactionThreshold: testCompactionThreshold,
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		log.Run(ctx)
		close(done)
	}()
	return log, replayed, func() {
		cancel()
		<-done
	}
}

func add(t *testing.T, log *Log, payloads ...string) {
	t.Helper()
	var encoded [][]byte
	for _, payload := range payloads {
		encoded = append(encoded, []byte(payload))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	assert.NilError(t, log.Append(ctx, encoded, func([]Position) {}))
}

func TestReplayOrder(t *testing.T) {
	dir := t.TempDir()
	log, _, stop := open(t, dir, nil)
	add(t, log, "one", "two")
	add(t, log, "three")
	stop()
	log, replayed, stop := open(t, dir, nil)
	assert.DeepEqual(t, replayed, []string{"one", "two", "three"})
	add(t, log, "four")
	stop()
	_, replayed, stop = open(t, dir, nil)
	stop()
	assert.DeepEqual(t, replayed, []string{"one", "two", "three", "four"})
}

// A torn or corrupt last write must lose neither the records acknowledged before it nor those appended after
// the log is opened again.
func TestTornWrite(t *testing.T) {
	dir := t.TempDir()
	log, _, stop := open(t, dir, nil)
	add(t, log, "kept")
	stop()
	name := log.segments[0].name
	whole, err := os.ReadFile(name)
	assert.NilError(t, err)
	torn := appendFrame(nil, []byte("never acknowledged"))
	for cut := range len(torn) + 1 {
		for _, damage := range []int{-1, cut / 2} {
			tail := append([]byte(nil), torn[:cut]...)
			if damage >= 0 && damage < len(tail) {
				tail[damage] ^= 0x40
			}
			copyDir := t.TempDir()
			assert.NilError(t, os.WriteFile(filepath.Join(copyDir, filepath.Base(name)), append(append([]byte(nil), whole...), tail...), 0o600))
			log, replayed, stop := open(t, copyDir, nil)
			assert.Equal(t, replayed[0], "kept", "cut at %d", cut)
			add(t, log, "after")
			stop()
			_, replayed, stop = open(t, copyDir, nil)
			stop()
			assert.Equal(t, replayed[len(replayed)-1], "after", "cut at %d", cut)
		}
	}
}

func TestConcurrentAppends(t *testing.T) {
	dir := t.TempDir()
	log, _, stop := open(t, dir, nil)
	var appends sync.WaitGroup
	for index := range 100 {
		appends.Add(1)
		go func() {
			defer appends.Done()
			add(t, log, fmt.Sprint(index))
		}()
	}
	appends.Wait()
	stop()
	_, replayed, stop := open(t, dir, nil)
	stop()
	assert.Equal(t, len(replayed), 100)
}

// While the disk hangs, an append beyond the queue's capacity fails at once.
func TestAppendFailsWhenQueueIsFull(t *testing.T) {
	log, err := Open(Options{Folder: t.TempDir(), Replay: func([]byte, Position) {}})
	assert.NilError(t, err)
	// Without Run, nothing is taken from the queue, as while a write hangs.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range maxQueuedAppends {
		go func() { _ = log.Append(ctx, [][]byte{[]byte("queued")}, func([]Position) {}) }()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(log.queue) == maxQueuedAppends {
			return poll.Success()
		}
		return poll.Continue("%d appends are queued", len(log.queue))
	})
	err = log.Append(ctx, [][]byte{[]byte("one too many")}, func([]Position) {})
	var target *ErrLog
	assert.Assert(t, errors.As(err, &target) && errors.Is(err, errQueueFull{}), "%v", err)
}

// A write error fails the append without calling apply, and appends succeed again once the disk recovers.
func TestAppendAfterWriteErrors(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	assert.NilError(t, os.Mkdir(dir, 0o700))
	log, _, stop := open(t, dir, nil)
	add(t, log, "before")
	moved := dir + ".gone"
	assert.NilError(t, log.file.Close()) // makes the next write fail
	assert.NilError(t, os.Rename(dir, moved))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for range 2 {
		err := log.Append(ctx, [][]byte{[]byte("lost")}, func([]Position) { t.Error("apply was called for a record that is not durable") })
		var target *ErrLog
		assert.Assert(t, errors.As(err, &target))
	}
	assert.NilError(t, os.Rename(moved, dir))
	add(t, log, "after")
	stop()
	_, replayed, stop := open(t, dir, nil)
	stop()
	assert.DeepEqual(t, replayed, []string{"before", "after"})
}

// Compaction must lose no live record, including those appended meanwhile, and must keep the log within its
// threshold and two segments.
func TestCompactionKeepsLiveRecords(t *testing.T) {
	dir := t.TempDir()
	filler := make([]byte, 1<<20)
	log, _, stop := open(t, dir, func(payload []byte) bool { return len(payload) < len(filler) })
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	wanted := make(map[string]bool)
	for index := range 4 * testCompactionThreshold / len(filler) {
		name := fmt.Sprint("record ", index)
		wanted[name] = true
		assert.NilError(t, log.Append(ctx, [][]byte{filler, []byte(name)}, func([]Position) {}))
	}
	stop()
	names, err := filepath.Glob(filepath.Join(dir, segmentGlob))
	assert.NilError(t, err)
	assert.Assert(t, filepath.Base(names[0]) != fmt.Sprintf(segmentPattern, 1), "no segment was removed")
	assert.Assert(t, log.bytes <= testCompactionThreshold+2*segmentBytes, "the log has %d bytes", log.bytes)
	_, replayed, stop := open(t, dir, nil)
	stop()
	found := make(map[string]bool)
	for _, record := range replayed {
		if len(record) < len(filler) {
			found[record] = true
		}
	}
	assert.DeepEqual(t, found, wanted)
}

// If all records are live, the log must grow instead of being rewritten again and again.
func TestCompactionOfLiveLogIsBounded(t *testing.T) {
	dir := t.TempDir()
	log, _, stop := open(t, dir, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	record := make([]byte, 256<<10)
	const records = 120
	for index := range records {
		record[0] = byte(index + 1)
		assert.NilError(t, log.Append(ctx, [][]byte{record}, func([]Position) {}))
	}
	stop()
	assert.Assert(t, log.number <= 2*records*len(record)/segmentBytes, "%d segments were started", log.number)
	_, replayed, stop := open(t, dir, nil)
	stop()
	found := make(map[byte]bool)
	for _, payload := range replayed {
		found[payload[0]] = true
	}
	assert.Equal(t, len(found), records)
}

// Records can be read at their reported positions after they were moved and after the log is opened again.
func TestReadAfterCompaction(t *testing.T) {
	dir := t.TempDir()
	var mutex sync.Mutex
	positions := make(map[string]Position)
	setPosition := func(payload []byte, at Position) {
		mutex.Lock()
		defer mutex.Unlock()
		positions[string(payload[:8])] = at
	}
	isLive := func(payload []byte) bool { return payload[0] == 'n' }
	options := Options{Folder: dir, Replay: setPosition, OnMove: setPosition, IsLive: isLive, CompactionThreshold: testCompactionThreshold}
	run := func() (*Log, func()) {
		log, err := Open(options)
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			log.Run(ctx)
			close(done)
		}()
		return log, func() {
			cancel()
			<-done
		}
	}
	check := func(log *Log) {
		t.Helper()
		for index := range 100 {
			name := fmt.Sprintf("n%07d", index)
			payload, err := log.Read(positions[name])
			assert.NilError(t, err, name)
			assert.Equal(t, string(payload[:8]), name)
		}
	}
	log, stop := run()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for index := range 100 {
		payload := append(fmt.Appendf(nil, "n%07d", index), make([]byte, index*100)...)
		filler := append([]byte("filler.."), make([]byte, 300<<10)...)
		err := log.Append(ctx, [][]byte{filler, payload}, func(at []Position) { setPosition(payload, at[1]) })
		assert.NilError(t, err)
	}
	stop()
	assert.Assert(t, log.segments[0].number > 1, "no segment was removed")
	check(log)
	log, stop = run()
	defer stop()
	check(log)
}

func FuzzReplay(f *testing.F) {
	f.Add(appendFrame(nil, []byte("x")))
	f.Add([]byte{255, 255, 255, 255, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, content []byte) {
		name := filepath.Join(t.TempDir(), fmt.Sprintf(segmentPattern, 1))
		assert.NilError(t, os.WriteFile(name, content, 0o600))
		size, err := replaySegment(name, 1, func([]byte, Position) {})
		assert.NilError(t, err)
		assert.Assert(t, size <= int64(len(content)))
	})
}

// Guards against records that pile up in memory while the disk hangs.
func TestAppendsThatWaitForTheDiskAreBoundedInBytes(t *testing.T) {
	const limit, size, appends = 8 << 20, 1 << 20, 100
	log, err := Open(Options{Folder: t.TempDir(), Replay: func([]byte, Position) {}, QueuedBytes: limit})
	assert.NilError(t, err)
	// Without Run, nothing is taken from the queue, as while a write hangs. The callers have gone, the records have not.
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	refused := 0
	for range appends {
		err := log.Append(gone, [][]byte{make([]byte, size)}, func([]Position) {})
		assert.Assert(t, err != nil)
		if IsQueueFull(err) {
			refused++
		}
	}
	assert.Assert(t, len(log.queue)*size <= limit, "%d MiB wait for a limit of %d MiB", len(log.queue)*size>>20, limit>>20)
	assert.Equal(t, refused+len(log.queue), appends)
}

// Guards against a record larger than the limit that is never stored, and against a count that is not returned.
func TestAppendLargerThanTheQueueIsWritten(t *testing.T) {
	log, err := Open(Options{Folder: t.TempDir(), Replay: func([]byte, Position) {}, QueuedBytes: 1 << 20})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		log.Run(ctx)
		close(done)
	}()
	for range 3 {
		assert.NilError(t, log.Append(ctx, [][]byte{make([]byte, 4<<20)}, func([]Position) {}))
	}
	cancel()
	<-done
	assert.Equal(t, log.queuedBytes.Load(), int64(0))
}
