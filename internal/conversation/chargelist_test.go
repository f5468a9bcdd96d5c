package conversation

import (
	"encoding/json"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestChargeListJSONRoundTrip(t *testing.T) {
	for _, list := range []ChargeList{nil, {{Turn: "a1", Tokens: 48}}, {{Turn: "a1", Tokens: 48, Settled: true}, {Turn: "", Tokens: -1}}} {
		encoded, err := json.Marshal(list)
		assert.NilError(t, err)
		var decoded ChargeList
		assert.NilError(t, json.Unmarshal(encoded, &decoded))
		assert.DeepEqual(t, decoded, list)
	}
	for _, invalid := range []string{"a", "a:", "a:x", "a:1!!", "a:1,,b:2", ":"} {
		var decoded ChargeList
		var target *ErrInvalidChargeList
		assert.Assert(t, errors.As(decoded.UnmarshalText([]byte(invalid)), &target), invalid)
	}
	for _, id := range []string{"a,b", "a:b", "a!"} {
		_, err := ChargeList{{Turn: id}}.MarshalText()
		assert.Assert(t, err != nil, id)
	}
}

// Every replica sends all charges of the program whenever a turn is opened, so the encoding must stay short.
func TestChargeListEncodedSize(t *testing.T) {
	var list ChargeList
	for range 100 {
		list = append(list, Charge{Program: "cbdcab16898a11", Turn: "3w5e11264s", Tokens: 240, Settled: true})
	}
	encoded, err := json.Marshal(list)
	assert.NilError(t, err)
	assert.Assert(t, len(encoded) <= 16*len(list)+2, "%d bytes for %d charges", len(encoded), len(list))
}
