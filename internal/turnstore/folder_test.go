package turnstore

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Only a replica that is there from the first start of the whole system on knows all runs: after a restart it has forgotten them.
func TestRestartedReplicaIsNotNew(t *testing.T) {
	folder := t.TempDir()
	for _, row := range []struct{ firstStart, isNew bool }{{true, true}, {true, false}, {false, false}} {
		opened, err := openFolder(folder, row.firstStart)
		assert.NilError(t, err)
		assert.Equal(t, opened.isNew, row.isNew)
	}
	opened, err := openFolder(t.TempDir(), false)
	assert.NilError(t, err)
	assert.Assert(t, !opened.isNew)
}
