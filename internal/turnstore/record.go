package turnstore

import (
	"encoding/binary"

	"github.com/mountstile/mountstile/internal/conversation"
)

// A record on disk is a kind byte followed by its fields in a fixed order: numbers as varints, strings with a length
// prefix, a charge's settled flag as its last byte, and a turn's text last, without a length. The format is compact
// because a replica decodes its whole log before it serves after a restart.
const (
	turnRecord   = 1
	chargeRecord = 2
	// chargeWithEngineRecord is a charge that also names its engine, between the token count and the settled flag.
	chargeWithEngineRecord = 3
)

// recordOverhead is the initial buffer size for the fields other than the text, in bytes.
const recordOverhead = 128

func encodeRecords(records []conversation.Record) [][]byte {
	payloads := make([][]byte, 0, len(records))
	for _, record := range records {
		payloads = append(payloads, encodeRecord(record))
	}
	return payloads
}

func encodeRecord(record conversation.Record) []byte {
	if turn := record.Turn; turn != nil {
		payload := make([]byte, 0, recordOverhead+len(turn.Text))
		payload = append(payload, turnRecord)
		payload = appendString(payload, turn.ID)
		payload = appendString(payload, turn.Previous)
		payload = appendString(payload, turn.Program)
		payload = appendString(payload, turn.Engine)
		payload = binary.AppendVarint(payload, turn.RetentionMillis)
		return append(payload, turn.Text...)
	}
	charge := record.Charge
	payload := make([]byte, 0, recordOverhead)
	kind := byte(chargeRecord)
	if charge.Engine != "" {
		kind = chargeWithEngineRecord
	}
	payload = append(payload, kind)
	payload = appendString(payload, charge.Program)
	payload = appendString(payload, charge.Turn)
	payload = binary.AppendVarint(payload, charge.Tokens)
	if kind == chargeWithEngineRecord {
		payload = appendString(payload, charge.Engine)
	}
	settled := byte(0)
	if charge.Settled {
		settled = 1
	}
	return append(payload, settled)
}

func appendString(payload []byte, text string) []byte {
	payload = binary.AppendUvarint(payload, uint64(len(text)))
	return append(payload, text...)
}

// decodeRecord returns false if the payload is not a valid record.
func decodeRecord(payload []byte) (conversation.Record, bool) {
	if len(payload) == 0 {
		return conversation.Record{}, false
	}
	fields := recordReader{rest: payload[1:]}
	switch payload[0] {
	case turnRecord:
		turn := &conversation.Turn{
			ID: fields.text(), Previous: fields.text(), Program: fields.text(), Engine: fields.text(), RetentionMillis: fields.number(),
		}
		turn.Text = append([]byte(nil), fields.rest...)
		return conversation.Record{Turn: turn}, !fields.failed
	case chargeRecord, chargeWithEngineRecord:
		charge := &conversation.Charge{Program: fields.text(), Turn: fields.text(), Tokens: fields.number()}
		if payload[0] == chargeWithEngineRecord {
			charge.Engine = fields.text()
		}
		valid := !fields.failed && len(fields.rest) == 1 && fields.rest[0] <= 1
		charge.Settled = valid && fields.rest[0] == 1
		return conversation.Record{Charge: charge}, valid
	}
	return conversation.Record{}, false
}

// recordReader reads fields from the front of a record. After an invalid field, all further ones are zero.
type recordReader struct {
	rest   []byte
	failed bool
}

func (r *recordReader) text() string {
	length, read := binary.Uvarint(r.rest)
	if r.failed || read <= 0 || length > uint64(len(r.rest)-read) {
		r.failed = true
		return ""
	}
	text := string(r.rest[read : read+int(length)])
	r.rest = r.rest[read+int(length):]
	return text
}

func (r *recordReader) number() int64 {
	number, read := binary.Varint(r.rest)
	if r.failed || read <= 0 {
		r.failed = true
		return 0
	}
	r.rest = r.rest[read:]
	return number
}
