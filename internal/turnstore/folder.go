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

// folderRecord is what a replica must know of itself after a restart.
type folderRecord struct {
	// Identity is drawn when the folder is empty: a replica with a lost disk is another one.
	Identity string `json:"identity"`
	// Complete means that what this replica doesn't know was never written, or is with others.
	Complete bool `json:"complete"`
	// Assigned tells that the replica holds the shard of ReplicaSet.
	Assigned   bool       `json:"assigned,omitempty"`
	ReplicaSet ReplicaSet `json:"set"`
}

// folder is the data folder of a replica.
type folder struct {
	path string

	mutex  sync.Mutex
	stored folderRecord
}

// openFolder reads the folder's record, or makes one if the folder is empty.
func openFolder(path string, firstStart bool) (*folder, error) {
	opened := &folder{path: path}
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, errors.Wrapf(err, "data folder %s", path)
	}
	data, err := os.ReadFile(filepath.Join(path, folderFile))
	if err == nil && json.Unmarshal(data, &opened.stored) == nil && opened.stored.Identity != "" {
		return opened, nil
	}
	if err != nil && !os.IsNotExist(err) {
		return nil, errors.Wrapf(err, "data folder %s", path)
	}
	opened.stored = folderRecord{Identity: uuid.NewString(), Complete: firstStart}
	if err := opened.save(); err != nil {
		// A full disk must not keep the replica from serving what others ask; it is not complete.
		opened.stored.Complete = false
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
		return errors.WithStack(errOtherShard{})
	}
	if set.Epoch <= f.stored.ReplicaSet.Epoch {
		return nil
	}
	before := f.stored.ReplicaSet
	f.stored.ReplicaSet = set
	if err := f.save(); err != nil {
		f.stored.ReplicaSet = before
		return err
	}
	return nil
}

// saveShard notes that the replica holds a shard from now on. If it held another one, it is not complete any more.
func (f *folder) saveShard(set ReplicaSet) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	before := f.stored
	f.stored.Complete = before.Complete && (!before.Assigned || before.ReplicaSet.Shard == set.Shard)
	f.stored.Assigned = true
	f.stored.ReplicaSet = set
	if err := f.save(); err != nil {
		f.stored = before
		return err
	}
	return nil
}

func (f *folder) saveComplete() error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.stored.Complete = true
	if err := f.save(); err != nil {
		f.stored.Complete = false
		return err
	}
	return nil
}

// save replaces the file: the new one is synced before it gets the name, and the name after.
func (f *folder) save() error {
	data, err := json.Marshal(f.stored)
	if err != nil {
		return errors.Wrap(err, "replica record")
	}
	temporary := filepath.Join(f.path, folderFile+".new")
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, folderFileMode)
	if err != nil {
		return errors.Wrap(err, "replica record")
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
		return errors.Wrap(err, "replica record")
	}
	return turnlog.SyncDir(f.path)
}
