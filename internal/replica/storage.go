package replica

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"

	"github.com/mountstile/mountstile/internal/consensus"
)

// StoredGroup is the persisted state of one replica.
type StoredGroup struct {
	State    consensus.HardState
	Snapshot consensus.Snapshot
	Entries  []consensus.Entry
}

// Storage persists the replicas of a node.
type Storage interface {
	// Groups lists the stored groups.
	Groups() ([]uint32, error)
	Load(group uint32) (StoredGroup, error)
	// Save writes the arguments that are not nil, and returns when they are as durable as the storage
	// provides. Entries replace the stored log from the index of the first one; a snapshot removes the
	// entries up to its index.
	Save(group uint32, state *consensus.HardState, snapshot *consensus.Snapshot, entries []consensus.Entry) error
	Remove(group uint32) error
	Close() error
}

// MemoryStorage is the storage of nodes without a data folder. It stores nothing, so such a node must use
// a new replica ID at each start; otherwise it could vote twice in a term.
type MemoryStorage struct{}

// Groups implements Storage.
func (MemoryStorage) Groups() ([]uint32, error) { return nil, nil }

// Load implements Storage.
func (MemoryStorage) Load(uint32) (StoredGroup, error) { return StoredGroup{}, nil }

// Save implements Storage.
func (MemoryStorage) Save(uint32, *consensus.HardState, *consensus.Snapshot, []consensus.Entry) error {
	return nil
}

// Remove implements Storage.
func (MemoryStorage) Remove(uint32) error { return nil }

// Close implements Storage.
func (MemoryStorage) Close() error { return nil }

// ErrCorrupt is returned for stored data that does not match its checksum or cannot be decoded.
type ErrCorrupt struct {
	Group uint32
	What  string
}

// Error implements error.
func (e *ErrCorrupt) Error() string { return "stored " + e.What + " is corrupt" }

const (
	diskFileName    = "replicas.db"
	diskLockTimeout = 2 * time.Second
	diskFileMode    = 0o600
)

var (
	stateKey    = []byte("state")
	snapshotKey = []byte("snapshot")
	logBucket   = []byte("log")
	castagnoli  = crc32.MakeTable(crc32.Castagnoli)
)

// DiskStorage is the storage of nodes with a data folder. It is a bbolt file with one bucket per group.
// bbolt's copy-on-write pages protect against torn writes; a checksum on each value detects silent
// corruption.
type DiskStorage struct {
	database *bbolt.DB
}

// OpenDiskStorage opens or creates the file in folder. It locks the file, so that two processes cannot
// use the same replica ID.
func OpenDiskStorage(folder string) (*DiskStorage, error) {
	path := filepath.Join(folder, diskFileName)
	database, err := bbolt.Open(path, diskFileMode, &bbolt.Options{Timeout: diskLockTimeout, NoFreelistSync: true})
	if err != nil {
		return nil, errors.Wrapf(err, "opening %s (is another process using the data folder?)", path)
	}
	return &DiskStorage{database: database}, nil
}

func groupKey(group uint32) []byte { return binary.BigEndian.AppendUint32(nil, group) }

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// encode returns value as JSON, prefixed with its checksum.
func encode(value any) ([]byte, error) {
	payload, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encoding a value for storage")
	}
	return append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(payload, castagnoli)), payload...), nil
}

// decode verifies the checksum of a stored value and decodes it. A missing value is left as it is.
func decode(group uint32, what string, encoded []byte, value any) error {
	if encoded == nil {
		return nil
	}
	if len(encoded) < crc32.Size || binary.BigEndian.Uint32(encoded) != crc32.Checksum(encoded[crc32.Size:], castagnoli) {
		return &ErrCorrupt{Group: group, What: what}
	}
	if err := json.Unmarshal(encoded[crc32.Size:], value); err != nil {
		return &ErrCorrupt{Group: group, What: what}
	}
	return nil
}

// Groups implements Storage.
func (d *DiskStorage) Groups() ([]uint32, error) {
	var groups []uint32
	err := d.database.View(func(transaction *bbolt.Tx) error {
		return transaction.ForEach(func(name []byte, _ *bbolt.Bucket) error {
			groups = append(groups, binary.BigEndian.Uint32(name))
			return nil
		})
	})
	return groups, errors.Wrap(err, "listing stored groups")
}

// Load implements Storage.
func (d *DiskStorage) Load(group uint32) (StoredGroup, error) {
	var stored StoredGroup
	err := d.database.View(func(transaction *bbolt.Tx) error {
		bucket := transaction.Bucket(groupKey(group))
		if bucket == nil {
			return nil
		}
		if err := decode(group, "state", bucket.Get(stateKey), &stored.State); err != nil {
			return err
		}
		if err := decode(group, "snapshot", bucket.Get(snapshotKey), &stored.Snapshot); err != nil {
			return err
		}
		return bucket.Bucket(logBucket).ForEach(func(_, encoded []byte) error {
			var entry consensus.Entry
			if err := decode(group, "entry", encoded, &entry); err != nil {
				return err
			}
			if entry.Index > stored.Snapshot.Index {
				stored.Entries = append(stored.Entries, entry)
			}
			return nil
		})
	})
	return stored, errors.Wrapf(err, "loading group %d", group)
}

// Save implements Storage.
func (d *DiskStorage) Save(group uint32, state *consensus.HardState, snapshot *consensus.Snapshot, entries []consensus.Entry) error {
	err := d.database.Update(func(transaction *bbolt.Tx) error {
		bucket, err := transaction.CreateBucketIfNotExists(groupKey(group))
		if err != nil {
			return err
		}
		entryBucket, err := bucket.CreateBucketIfNotExists(logBucket)
		if err != nil {
			return err
		}
		if state != nil {
			if err := put(bucket, stateKey, state); err != nil {
				return err
			}
		}
		if snapshot != nil {
			if err := put(bucket, snapshotKey, snapshot); err != nil {
				return err
			}
			if err := deleteThrough(entryBucket, snapshot.Index); err != nil {
				return err
			}
		}
		return replaceFrom(entryBucket, entries)
	})
	return errors.Wrapf(err, "saving group %d", group)
}

func put(bucket *bbolt.Bucket, key []byte, value any) error {
	encoded, err := encode(value)
	if err != nil {
		return err
	}
	return bucket.Put(key, encoded)
}

// deleteThrough deletes the entries up to and including last.
func deleteThrough(bucket *bbolt.Bucket, last uint64) error {
	cursor := bucket.Cursor()
	for key, _ := cursor.First(); key != nil && binary.BigEndian.Uint64(key) <= last; key, _ = cursor.Next() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// replaceFrom deletes the stored log from the index of the first entry, and appends entries.
func replaceFrom(bucket *bbolt.Bucket, entries []consensus.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	cursor := bucket.Cursor()
	for key, _ := cursor.Seek(indexKey(entries[0].Index)); key != nil; key, _ = cursor.Next() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	for _, entry := range entries {
		if err := put(bucket, indexKey(entry.Index), entry); err != nil {
			return err
		}
	}
	return nil
}

// Remove implements Storage.
func (d *DiskStorage) Remove(group uint32) error {
	err := d.database.Update(func(transaction *bbolt.Tx) error {
		if transaction.Bucket(groupKey(group)) == nil {
			return nil
		}
		return transaction.DeleteBucket(groupKey(group))
	})
	return errors.Wrapf(err, "removing group %d", group)
}

// Close implements Storage.
func (d *DiskStorage) Close() error {
	return errors.Wrap(d.database.Close(), "closing the replica storage")
}
