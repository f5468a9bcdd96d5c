package transport

import (
	"encoding/json"
	"strconv"
)

// The head of a line, which is all of a frame but its payload, has few fields with plain values in almost all messages. It is encoded and decoded without
// reflection; other heads go through encoding/json.

// encodeHead returns the JSON object of a frame without its payload.
func (f frame) encodeHead() ([]byte, error) {
	if f.Error != nil || !isPlain(f.Kind) || !isPlain(f.To) || !isPlain(f.ClusterID) {
		f.Payload = nil
		return json.Marshal(f)
	}
	head := make([]byte, 0, len(`{"k":"","i":,"r":true,"t":"","c":""}`)+maxDigits+len(f.Kind)+len(f.To)+len(f.ClusterID)+len(payloadField)+len(f.Payload)+len("\n"))
	head = append(head, '{')
	head = appendField(head, 'k', f.Kind)
	if f.ID != 0 {
		head = strconv.AppendUint(appendName(head, 'i'), f.ID, 10)
	}
	if f.Reply {
		head = append(appendName(head, 'r'), "true"...)
	}
	head = appendField(head, 't', f.To)
	head = appendField(head, 'c', f.ClusterID)
	return append(head, '}'), nil
}

// maxDigits is the length of the largest ID.
const maxDigits = 20

// appendField appends a field unless its value is empty.
func appendField(head []byte, name byte, value string) []byte {
	if value == "" {
		return head
	}
	head = append(appendName(head, name), '"')
	return append(append(head, value...), '"')
}

// appendName appends the name of the next field.
func appendName(head []byte, name byte) []byte {
	if len(head) > 1 {
		head = append(head, ',')
	}
	return append(head, '"', name, '"', ':')
}

// isPlain reports whether a string is the same in JSON.
func isPlain(value string) bool {
	for index := range len(value) {
		if !isPlainByte(value[index]) {
			return false
		}
	}
	return true
}

// isPlainByte reports whether encoding/json writes a byte as it is.
func isPlainByte(char byte) bool {
	switch char {
	case '"', '\\', '<', '>', '&':
		return false
	}
	return char >= ' ' && char < 0x7f
}

// decodePlainHead decodes a head without its closing brace. ok is false if any field is not plain.
func decodePlainHead(head []byte) (decoded frame, ok bool) {
	if len(head) == 0 || head[0] != '{' {
		return frame{}, false
	}
	for rest := head[1:]; ; rest = rest[1:] {
		if len(rest) < len(`"k":1`) || rest[0] != '"' || rest[2] != '"' || rest[3] != ':' {
			return frame{}, false
		}
		name, value := rest[1], rest[4:]
		if rest, ok = decoded.setPlainField(name, value); !ok {
			return frame{}, false
		}
		if len(rest) == 0 {
			return decoded, true
		}
		if rest[0] != ',' {
			return frame{}, false
		}
	}
}

// setPlainField sets the field with a name to the value at the beginning of the text, and returns the rest.
func (f *frame) setPlainField(name byte, text []byte) (rest []byte, ok bool) {
	switch name {
	case 'k':
		f.Kind, rest, ok = plainString(text)
	case 't':
		f.To, rest, ok = plainString(text)
	case 'c':
		f.ClusterID, rest, ok = plainString(text)
	case 'i':
		f.ID, rest, ok = plainNumber(text)
	case 'r':
		rest, ok = bytesAfter(text, "true")
		f.Reply = ok
	}
	return rest, ok
}

// plainString returns the string at the beginning of a text.
func plainString(text []byte) (value string, rest []byte, ok bool) {
	if text[0] != '"' {
		return "", nil, false
	}
	for index, char := range text[1:] {
		switch {
		case char == '"':
			return string(text[1 : 1+index]), text[index+2:], true
		case !isPlainByte(char):
			return "", nil, false
		}
	}
	return "", nil, false
}

// plainNumber returns the number at the beginning of a text.
func plainNumber(text []byte) (value uint64, rest []byte, ok bool) {
	end := 0
	for end < len(text) && text[end] >= '0' && text[end] <= '9' {
		end++
	}
	if end == 0 || text[0] == '0' {
		return 0, nil, false
	}
	value, err := strconv.ParseUint(string(text[:end]), 10, 64)
	return value, text[end:], err == nil
}

// bytesAfter returns what follows a prefix.
func bytesAfter(text []byte, prefix string) (rest []byte, ok bool) {
	if len(text) < len(prefix) || string(text[:len(prefix)]) != prefix {
		return nil, false
	}
	return text[len(prefix):], true
}
