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

// testCollectAbove keeps the tests quick.
const testCollectAbove = 12 << 20

func open(t *testing.T, folder string, needed func([]byte) bool) (*Log, []string, func()) {
	t.Helper()
	var replayed []string
	log, err := Open(Options{
		Folder: folder, Replay: func(payload []byte, _ Position) { replayed = append(replayed, string(payload)) }, IsLive: needed,
		CompactionThreshold: testCollectAbove,
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

func TestRecordsComeBackInOrder(t *testing.T) {
	folder := t.TempDir()
	log, _, stop := open(t, folder, nil)
	add(t, log, "one", "two")
	add(t, log, "three")
	stop()
	log, replayed, stop := open(t, folder, nil)
	assert.DeepEqual(t, replayed, []string{"one", "two", "three"})
	add(t, log, "four")
	stop()
	_, replayed, stop = open(t, folder, nil)
	stop()
	assert.DeepEqual(t, replayed, []string{"one", "two", "three", "four"})
}

// Whatever of the last write reached the disk, what was acknowledged before comes back, and what is
// appended after the loss of power does, too.
func TestTornEnd(t *testing.T) {
	folder := t.TempDir()
	log, _, stop := open(t, folder, nil)
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
			copyFolder := t.TempDir()
			assert.NilError(t, os.WriteFile(filepath.Join(copyFolder, filepath.Base(name)), append(append([]byte(nil), whole...), tail...), 0o600))
			log, replayed, stop := open(t, copyFolder, nil)
			assert.Equal(t, replayed[0], "kept", "cut at %d", cut)
			add(t, log, "after")
			stop()
			_, replayed, stop = open(t, copyFolder, nil)
			stop()
			assert.Equal(t, replayed[len(replayed)-1], "after", "cut at %d", cut)
		}
	}
}

func TestAppendsAtOnceShareASync(t *testing.T) {
	folder := t.TempDir()
	log, _, stop := open(t, folder, nil)
	var tasks sync.WaitGroup
	for index := range 100 {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			add(t, log, fmt.Sprint(index))
		}()
	}
	tasks.Wait()
	stop()
	_, replayed, stop := open(t, folder, nil)
	stop()
	assert.Equal(t, len(replayed), 100)
}

// While the disk stands still, no more appends wait than the log has room for.
func TestStandingDiskRefusesWhatItCannotTake(t *testing.T) {
	log, err := Open(Options{Folder: t.TempDir(), Replay: func([]byte, Position) {}})
	assert.NilError(t, err)
	// Run is not started: nothing is taken from the queue, as while a write hangs.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range queuedAppends {
		go func() { _ = log.Append(ctx, [][]byte{[]byte("waits")}, func([]Position) {}) }()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(log.queue) == queuedAppends {
			return poll.Success()
		}
		return poll.Continue("%d appends wait", len(log.queue))
	})
	err = log.Append(ctx, [][]byte{[]byte("one too many")}, func([]Position) {})
	var failure *ErrLog
	assert.Assert(t, errors.As(err, &failure) && errors.Is(err, errBusy{}), "%v", err)
}

// A disk that refuses writes fails the append, and the log goes on once it takes them again.
func TestFailingDisk(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	assert.NilError(t, os.Mkdir(folder, 0o700))
	log, _, stop := open(t, folder, nil)
	add(t, log, "before")
	moved := folder + ".gone"
	assert.NilError(t, log.file.Close()) // the next write fails as on a full disk
	assert.NilError(t, os.Rename(folder, moved))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for range 2 {
		err := log.Append(ctx, [][]byte{[]byte("lost")}, func([]Position) { t.Error("a record was shown that is not durable") })
		var failure *ErrLog
		assert.Assert(t, errors.As(err, &failure))
	}
	assert.NilError(t, os.Rename(moved, folder))
	add(t, log, "after")
	stop()
	_, replayed, stop := open(t, folder, nil)
	stop()
	assert.DeepEqual(t, replayed, []string{"before", "after"})
}

// Old segments go, what is needed of them stays; of what is appended meanwhile nothing is lost, also if
// nobody has waited for it. The log does not grow beyond its limit and two segments.
func TestGrownLogKeepsWhatIsNeeded(t *testing.T) {
	folder := t.TempDir()
	filler := make([]byte, 1<<20)
	log, _, stop := open(t, folder, func(payload []byte) bool { return len(payload) < len(filler) })
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	wanted := make(map[string]bool)
	for index := range 4 * testCollectAbove / len(filler) {
		name := fmt.Sprint("record ", index)
		wanted[name] = true
		assert.NilError(t, log.Append(ctx, [][]byte{filler, []byte(name)}, func([]Position) {}))
	}
	stop()
	names, err := filepath.Glob(filepath.Join(folder, segmentGlob))
	assert.NilError(t, err)
	assert.Assert(t, filepath.Base(names[0]) != fmt.Sprintf(segmentPattern, 1), "no old segment was removed")
	assert.Assert(t, log.bytes <= testCollectAbove+2*segmentBytes, "the log has %d bytes", log.bytes)
	_, replayed, stop := open(t, folder, nil)
	stop()
	found := make(map[string]bool)
	for _, record := range replayed {
		if len(record) < len(filler) {
			found[record] = true
		}
	}
	assert.DeepEqual(t, found, wanted)
}

// While nearly all is needed, the log grows instead of being read again and again.
func TestLogThatIsAllNeededIsNotReadOverAndOver(t *testing.T) {
	folder := t.TempDir()
	log, _, stop := open(t, folder, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	record := make([]byte, 256<<10)
	const records = 120
	for index := range records {
		record[0] = byte(index + 1)
		assert.NilError(t, log.Append(ctx, [][]byte{record}, func([]Position) {}))
	}
	stop()
	assert.Assert(t, log.number <= 2*records*len(record)/segmentBytes, "%d segments were written", log.number)
	_, replayed, stop := open(t, folder, nil)
	stop()
	found := make(map[byte]bool)
	for _, payload := range replayed {
		found[payload[0]] = true
	}
	assert.Equal(t, len(found), records)
}

// Records are found where the log says, also after they were moved and after a restart.
func TestRecordsAreReadFromTheDisk(t *testing.T) {
	folder := t.TempDir()
	var mutex sync.Mutex
	positions := make(map[string]Position)
	learn := func(payload []byte, at Position) {
		mutex.Lock()
		defer mutex.Unlock()
		positions[string(payload[:8])] = at
	}
	needed := func(payload []byte) bool { return payload[0] == 'n' }
	options := Options{Folder: folder, Replay: learn, OnMove: learn, IsLive: needed, CompactionThreshold: testCollectAbove}
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
		err := log.Append(ctx, [][]byte{filler, payload}, func(at []Position) { learn(payload, at[1]) })
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
