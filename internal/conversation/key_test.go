package conversation

import (
	"encoding/json"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestKeyJSONRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := Key{Turn: rapid.String().Draw(t, "turn"), Charge: rapid.Bool().Draw(t, "charge")}
		if key.Charge {
			key.Program = rapid.String().Draw(t, "program")
			key.Settled = rapid.Bool().Draw(t, "settled")
		}
		encoded, err := json.Marshal([]Key{key})
		assert.NilError(t, err)
		var decoded []Key
		assert.NilError(t, json.Unmarshal(encoded, &decoded))
		assert.DeepEqual(t, decoded, []Key{key})
	})
	for _, invalid := range []string{"", "x1:ab", "r:ab", "r-1:ab", "s3:ab", "s2ab"} {
		var key Key
		var target *ErrInvalidKey
		assert.Assert(t, errors.As(key.UnmarshalText([]byte(invalid)), &target), invalid)
	}
}

// Replicas exchange the keys of every turn, so the encoding must stay short.
func TestKeyEncodedSize(t *testing.T) {
	encoded, err := json.Marshal(Key{Turn: "3w5e11264s", Program: "cbdcab16898a11", Charge: true, Settled: true})
	assert.NilError(t, err)
	assert.Assert(t, len(encoded) <= 30, "%d bytes: %s", len(encoded), encoded)
}
