package turnstore

import (
	"encoding/json"
	"os"
	"path/filepath"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/mountstile/mountstile/internal/turnlog"
)

const (
	folderFile     = "replica.json"
	folderFileMode = 0o600
	folderMode     = 0o700
)

// folderRecord is the replica's metadata that survives a restart.
type folderRecord struct {
	// Identity is generated when the folder is empty: a replica that lost its disk gets a new one.
	Identity string `json:"identity"`
	// Complete means that this replica counts toward read quorums: a record that it lacks was never written or is held
	// by others.
	Complete bool `json:"complete"`
	// Assigned reports that the replica holds the shard of ReplicaSet.
	Assigned   bool       `json:"assigned,omitempty"`
	ReplicaSet ReplicaSet `json:"set"`
}

// folder is a replica's data folder.
type folder struct {
	path string
	// isNew is set if the folder was empty at the first start of the whole system.
	isNew bool

	mutex  sync.Mutex
	stored folderRecord
}

// openFolder reads the folder's record, or creates one if there is none.
func openFolder(path string, firstStart bool) (*folder, error) {
	opened := &folder{path: path}
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, errors.Wrapf(err, "creating data folder %s", path)
	}
	data, err := os.ReadFile(filepath.Join(path, folderFile))
	if err == nil && json.Unmarshal(data, &opened.stored) == nil && opened.stored.Identity != "" {
		return opened, nil
	}
	if err != nil && !os.IsNotExist(err) {
		return nil, errors.Wrapf(err, "reading the replica record in data folder %s", path)
	}
	opened.stored = folderRecord{Identity: uuid.NewString(), Complete: firstStart}
	opened.isNew = firstStart
	if err := opened.save(); err != nil {
		// A full disk must not stop the replica from serving reads, but it does not count as complete.
		opened.stored.Complete, opened.isNew = false, false
	}
	return opened, nil
}

func (f *folder) record() folderRecord {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.stored
}

func (f *folder) saveSet(set ReplicaSet) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.stored.ReplicaSet.Epoch > 0 && set.Shard != f.stored.ReplicaSet.Shard {
		return errors.WithStack(errWrongShard{})
	}
	if set.Epoch <= f.stored.ReplicaSet.Epoch {
		return nil
	}
	previous := f.stored.ReplicaSet
	f.stored.ReplicaSet = set
	if err := f.save(); err != nil {
		f.stored.ReplicaSet = previous
		return err
	}
	return nil
}

// saveShard persists the shard assignment. A replica that moves from another shard is no longer complete. A disk that is
// named by its first set has been in the set since there were records, so it is complete.
func (f *folder) saveShard(set ReplicaSet) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	previous := f.stored
	if previous.Assigned {
		f.stored.Complete = previous.Complete && previous.ReplicaSet.Shard == set.Shard
	} else {
		f.stored.Complete = previous.Complete || set.namesDisk(previous.Identity)
	}
	f.stored.Assigned = true
	f.stored.ReplicaSet = set
	if err := f.save(); err != nil {
		f.stored = previous
		return err
	}
	return nil
}

// saveComplete marks the replica as complete in a shard. It fails if the replica has moved to another shard meanwhile.
func (f *folder) saveComplete(shard int) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.stored.Assigned && f.stored.ReplicaSet.Shard != shard {
		return errors.WithStack(errWrongShard{})
	}
	f.stored.Complete = true
	if err := f.save(); err != nil {
		f.stored.Complete = false
		return err
	}
	return nil
}

// save replaces the file atomically: it syncs the new file, renames it, then syncs the folder.
func (f *folder) save() error {
	data, err := json.Marshal(f.stored)
	if err != nil {
		return errors.Wrap(err, "encoding the replica record")
	}
	temporary := filepath.Join(f.path, folderFile+".new")
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, folderFileMode)
	if err != nil {
		return errors.Wrap(err, "creating the replica record")
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(temporary, filepath.Join(f.path, folderFile))
	}
	if err != nil {
		return errors.Wrap(err, "writing the replica record")
	}
	return turnlog.SyncDir(f.path)
}
