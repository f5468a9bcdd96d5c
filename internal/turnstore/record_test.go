package turnstore

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/conversation"
)

func TestRecordsComeBackAsTheyWereWritten(t *testing.T) {
	for _, record := range []conversation.Record{
		{Turn: &conversation.Turn{ID: "t2", Previous: "t1", Program: "p", Engine: "e", Text: []byte("{\x00\xff\n"), RetentionMillis: 9}},
		{Turn: &conversation.Turn{ID: "t"}},
		{Charge: &conversation.Charge{Program: "p", Turn: "t", Tokens: 7, Settled: true}},
	} {
		payload, err := encodeRecord(record)
		assert.NilError(t, err)
		decoded, valid := decodeRecord(payload)
		assert.Assert(t, valid)
		assert.DeepEqual(t, decoded, record)
	}
}

func FuzzDecodeRecord(f *testing.F) {
	payload, err := encodeRecord(conversation.Record{Turn: &conversation.Turn{ID: "t", Text: []byte("x")}})
	assert.NilError(f, err)
	f.Add(payload)
	f.Add([]byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 1})
	f.Add([]byte("\x02{}"))
	f.Fuzz(func(t *testing.T, payload []byte) {
		record, valid := decodeRecord(payload)
		if valid {
			assert.Assert(t, (record.Turn == nil) != (record.Charge == nil))
		}
	})
}
