package conversation

import (
	"encoding/json"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestChargeListGoesThroughJSON(t *testing.T) {
	for _, sheet := range []ChargeList{nil, {{Turn: "a1", Tokens: 48}}, {{Turn: "a1", Tokens: 48, Settled: true}, {Turn: "", Tokens: -1}}} {
		encoded, err := json.Marshal(sheet)
		assert.NilError(t, err)
		var decoded ChargeList
		assert.NilError(t, json.Unmarshal(encoded, &decoded))
		assert.DeepEqual(t, decoded, sheet)
	}
	for _, damaged := range []string{"a", "a:", "a:x", "a:1!!", "a:1,,b:2", ":"} {
		var decoded ChargeList
		var failed *ErrChargeList
		assert.Assert(t, errors.As(decoded.UnmarshalText([]byte(damaged)), &failed), damaged)
	}
	for _, name := range []string{"a,b", "a:b", "a!"} {
		_, err := ChargeList{{Turn: name}}.MarshalText()
		assert.Assert(t, err != nil, name)
	}
}

// A charge takes few bytes on the wire: each opening of a turn brings those of all turns of its program from each replica.
func TestChargeListIsShort(t *testing.T) {
	var sheet ChargeList
	for range 100 {
		sheet = append(sheet, Charge{Program: "cbdcab16898a11", Turn: "3w5e11264s", Tokens: 240, Settled: true})
	}
	encoded, err := json.Marshal(sheet)
	assert.NilError(t, err)
	assert.Assert(t, len(encoded) <= 16*len(sheet)+2, "%d bytes for %d charges", len(encoded), len(sheet))
}
