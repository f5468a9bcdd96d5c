package turnstore

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/conversation"
)

func TestRecordRoundTrip(t *testing.T) {
	for _, record := range []conversation.Record{
		{Turn: &conversation.Turn{ID: "t2", Previous: "t1", Program: "p", Engine: "e", Text: []byte("{\x00\xff\n"), RetentionMillis: 9}},
		{Turn: &conversation.Turn{ID: "t"}},
		{Charge: &conversation.Charge{Program: "p", Turn: "t", Tokens: 7, Settled: true}},
		{Charge: &conversation.Charge{Program: "p", Turn: "t", Tokens: 7, Settled: true, Engine: "e"}},
	} {
		decoded, valid := decodeRecord(encodeRecord(record))
		assert.Assert(t, valid)
		assert.DeepEqual(t, decoded, record)
	}
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add(encodeRecord(conversation.Record{Turn: &conversation.Turn{ID: "t", Text: []byte("x")}}))
	f.Add(encodeRecord(conversation.Record{Charge: &conversation.Charge{Program: "p", Turn: "t", Tokens: -3, Settled: true}}))
	f.Add([]byte{1, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, payload []byte) {
		record, valid := decodeRecord(payload)
		if valid {
			assert.Assert(t, (record.Turn == nil) != (record.Charge == nil))
			again, valid := decodeRecord(encodeRecord(record))
			assert.Assert(t, valid)
			assert.DeepEqual(t, again, record)
		}
	})
}
