package gateway

import "encoding/json"

// toolCallMerger assembles streamed tool calls.
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

func (m *toolCallMerger) begun() bool { return len(m.calls) > 0 }

// maxToolCalls bounds what an engine can make a node hold.
const maxToolCalls = 128

func (m *toolCallMerger) add(raw json.RawMessage) {
	var pieces []toolCall
	if len(raw) == 0 || json.Unmarshal(raw, &pieces) != nil {
		return
	}
	for _, piece := range pieces {
		index := len(m.calls)
		if piece.Index != nil {
			index = *piece.Index
		}
		if index < 0 || index >= maxToolCalls {
			continue
		}
		for len(m.calls) <= index {
			m.calls = append(m.calls, toolCall{Type: "function"})
		}
		merged := &m.calls[index]
		merged.ID += piece.ID
		merged.Function.Name += piece.Function.Name
		merged.Function.Arguments += piece.Function.Arguments
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

// indexedToolCalls numbers the tool calls of a message, as a stream's reader needs them.
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
