// Package memoryfolder gives tests folders that do not wait for the machine's disk.
//
// Beside other work a sync of a few kilobytes can take seconds there, and a test whose subject is how processes or nodes act
// together fails for the machine's sake: with a load of 50 on 12 cores, 3 of 6 runs of the gateway's tests failed with the
// replicas' folders on the disk, and none of 6 with them in memory. Disks that are slow or stand still are made by the tests
// that are about them.
//
// Usage:
//
//	folder := memoryfolder.New(t)
package memoryfolder

import (
	"os"
	"testing"
)

// root is where Linux keeps a file system in memory.
const root = "/dev/shm"

// New returns a folder that is removed when the test ends. It lies on the disk where there is no file system in memory.
func New(t testing.TB) string {
	t.Helper()
	folder, err := os.MkdirTemp(root, "mountstile-test-")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() {
		if err := os.RemoveAll(folder); err != nil {
			t.Logf("a folder in memory stays: %s", err)
		}
	})
	return folder
}
