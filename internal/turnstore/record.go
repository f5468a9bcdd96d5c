package turnstore

import (
	"encoding/binary"
	"encoding/json"

	"github.com/mountstile/mountstile/internal/conversation"
)

// A record on disk is the length of its description (unsigned varint), the description in JSON, then a
// turn's text as it is. Texts are most of what is written, and would take a third more in JSON.

func encodeRecords(records []conversation.Record) [][]byte {
	payloads := make([][]byte, 0, len(records))
	for _, record := range records {
		if payload, err := encodeRecord(record); err == nil {
			payloads = append(payloads, payload)
		}
	}
	return payloads
}

func encodeRecord(record conversation.Record) ([]byte, error) {
	var text []byte
	if record.Turn != nil {
		turn := *record.Turn
		text = turn.Text
		turn.Text = nil
		record.Turn = &turn
	}
	description, err := json.Marshal(record)
	if err != nil {
		return nil, err
	}
	payload := make([]byte, 0, binary.MaxVarintLen64+len(description)+len(text))
	payload = binary.AppendUvarint(payload, uint64(len(description)))
	payload = append(payload, description...)
	return append(payload, text...), nil
}

// decodeRecord reports false for what is no record.
func decodeRecord(payload []byte) (conversation.Record, bool) {
	var record conversation.Record
	length, read := binary.Uvarint(payload)
	if read <= 0 || length > uint64(len(payload)-read) {
		return record, false
	}
	description, text := payload[read:read+int(length)], payload[read+int(length):]
	if json.Unmarshal(description, &record) != nil {
		return record, false
	}
	switch {
	case record.Turn != nil && record.Charge == nil:
		record.Turn.Text = append([]byte(nil), text...)
	case record.Charge == nil || record.Turn != nil || len(text) > 0:
		return record, false
	}
	return record, true
}
