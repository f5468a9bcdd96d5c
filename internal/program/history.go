package program

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
)

// HistoryMark identifies a prefix of a history by its number of messages and a hash chain over them.
type HistoryMark struct {
	Count int    `json:"count"`
	Hash  string `json:"hash,omitempty"`
}

const markHashBytes = 16

// Extend returns the mark of the history with messages appended.
func (m HistoryMark) Extend(messages []Message) HistoryMark {
	for _, message := range messages {
		digest := sha256.New()
		digest.Write([]byte(m.Hash))
		digest.Write([]byte{0})
		digest.Write(canonical(message))
		m = HistoryMark{Count: m.Count + 1, Hash: hex.EncodeToString(digest.Sum(nil)[:markHashBytes])}
	}
	return m
}

// messageFields are the fields of a chat message that are compared. Clients add and drop other and empty fields when they send
// an answer back.
type messageFields struct {
	Role       string          `json:"role"`
	Content    json.RawMessage `json:"content,omitempty"`
	ToolCalls  json.RawMessage `json:"tool_calls,omitempty"`
	ToolCallID string          `json:"tool_call_id,omitempty"`
	Name       string          `json:"name,omitempty"`
}

type textPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// canonical returns an encoding that is equal for equivalent messages.
func canonical(message Message) []byte {
	var fields messageFields
	if json.Unmarshal(message, &fields) != nil {
		return message
	}
	fields.Content = canonicalContent(fields.Content)
	fields.ToolCalls = compact(fields.ToolCalls)
	encoded, err := json.Marshal(fields)
	if err != nil {
		return message
	}
	return encoded
}

// canonicalContent converts a list of only text parts to the equivalent string.
func canonicalContent(content json.RawMessage) json.RawMessage {
	content = compact(content)
	var parts []textPart
	if len(content) == 0 || content[0] != '[' || json.Unmarshal(content, &parts) != nil {
		return content
	}
	var text strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return content
		}
		text.WriteString(part.Text)
	}
	encoded, err := json.Marshal(text.String())
	if err != nil {
		return content
	}
	return encoded
}

// compact removes insignificant space; null and the empty list become nil.
func compact(raw json.RawMessage) json.RawMessage {
	trimmed := bytes.TrimSpace(raw)
	if len(trimmed) == 0 || bytes.Equal(trimmed, []byte("null")) || bytes.Equal(trimmed, []byte("[]")) {
		return nil
	}
	var buffer bytes.Buffer
	if json.Compact(&buffer, trimmed) != nil {
		return raw
	}
	return buffer.Bytes()
}

// BytesPerToken is the estimate for placement; budgets use TokenUpperBound.
const BytesPerToken = 4

func firstMessageOf(message Message) FirstMessage {
	return FirstMessage{Hash: HistoryMark{}.Extend([]Message{message}).Hash, Tokens: int64(len(message)) / BytesPerToken}
}

const (
	// templateTokensPerMessage bounds the tokens that a chat template adds to each message.
	templateTokensPerMessage = 8
)

// TokenUpperBound returns an upper bound of the messages' tokens: byte-level tokenizers produce at most one token for each byte.
func TokenUpperBound(messages []Message) int64 {
	var total int64
	for _, message := range messages {
		total += int64(len(message)) + templateTokensPerMessage
	}
	return total
}
