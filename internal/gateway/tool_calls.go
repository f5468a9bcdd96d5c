package gateway

import "encoding/json"

// toolCallMerger assembles tool calls from the deltas of a stream.
type toolCallMerger struct {
	calls []toolCall
}

type toolCall struct {
	Index    *int         `json:"index,omitempty"`
	ID       string       `json:"id,omitempty"`
	Type     string       `json:"type,omitempty"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

func (m *toolCallMerger) hasStarted() bool { return len(m.calls) > 0 }

// maxToolCalls bounds the memory that an engine's answer can use.
const maxToolCalls = 128

// add merges the tool calls of a delta. Invalid JSON and indices out of range are ignored.
func (m *toolCallMerger) add(raw json.RawMessage) {
	var deltas []toolCall
	if len(raw) == 0 || json.Unmarshal(raw, &deltas) != nil {
		return
	}
	for _, delta := range deltas {
		index := len(m.calls)
		if delta.Index != nil {
			index = *delta.Index
		}
		if index < 0 || index >= maxToolCalls {
			continue
		}
		for len(m.calls) <= index {
			m.calls = append(m.calls, toolCall{Type: "function"})
		}
		merged := &m.calls[index]
		merged.ID += delta.ID
		merged.Function.Name += delta.Function.Name
		merged.Function.Arguments += delta.Function.Arguments
	}
}

func (m *toolCallMerger) encoded() json.RawMessage {
	if len(m.calls) == 0 {
		return nil
	}
	encoded, err := json.Marshal(m.calls)
	if err != nil {
		return nil
	}
	return encoded
}

// indexedToolCalls adds to each tool call of a message its index, which clients require in a stream.
func indexedToolCalls(raw json.RawMessage) json.RawMessage {
	var calls []toolCall
	if len(raw) == 0 || json.Unmarshal(raw, &calls) != nil {
		return nil
	}
	for index := range calls {
		calls[index].Index = &index
	}
	encoded, err := json.Marshal(calls)
	if err != nil {
		return nil
	}
	return encoded
}
