// Package memorydisk gives tests folders that do not wait for the machine's disk. Beside other work a sync of
// a few kilobytes can take seconds there (3.03 s were measured beside a bench), and a test whose subject is how nodes act
// together would then fail for the machine's sake. Tests of the log itself use the real disk; a disk that is slow or
// stands still is made by the test that is about it.
//
// Usage:
//
//	folder := memorydisk.Folder(t)
package memorydisk

import (
	"os"
	"testing"
)

// root is where Linux keeps a file system in memory.
const root = "/dev/shm"

// Folder returns a folder for a test, in memory where the system has a place for that. It is removed at the
// end of the test.
func Folder(t *testing.T) string {
	t.Helper()
	folder, err := os.MkdirTemp(root, "mountstile-test-")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(folder) })
	return folder
}
