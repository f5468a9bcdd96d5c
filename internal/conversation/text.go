package conversation

import (
	"encoding/base64"
	"encoding/json"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// Text is the text of a turn; it may hold arbitrary bytes. Texts are most of the traffic between replicas and
// gateways, so valid UTF-8 is encoded as a plain JSON string rather than in base64, which is a third longer, unless JSON
// would escape so much of it that base64 is shorter.
// The first character of the string is the encoding.
type Text []byte

const (
	plainPrefix  = '='
	base64Prefix = '+'
)

// ErrTextEncoding means that an encoded Text starts with an unknown prefix.
type ErrTextEncoding struct{ Prefix string }

// Error implements error.
func (e *ErrTextEncoding) Error() string { return "unknown text encoding " + e.Prefix }

// MarshalJSON implements json.Marshaler.
func (t Text) MarshalJSON() ([]byte, error) {
	if utf8.Valid(t) && t.escapedBytes() <= base64.StdEncoding.EncodedLen(len(t)) {
		return json.Marshal(string(plainPrefix) + string(t))
	}
	return json.Marshal(string(base64Prefix) + base64.StdEncoding.EncodeToString(t))
}

// longEscapeBytes is the size of an escape such as \u003c.
const longEscapeBytes = 6

// escapedBytes returns the size of the text as a plain JSON string. The few characters beyond ASCII that JSON escapes are
// not counted.
func (t Text) escapedBytes() int {
	size := len(t)
	for _, char := range t {
		switch {
		case char == '"' || char == '\\' || char == '\n' || char == '\r' || char == '\t':
			size++
		case char < ' ' || char == '<' || char == '>' || char == '&':
			size += longEscapeBytes - 1
		}
	}
	return size
}

// UnmarshalJSON implements json.Unmarshaler. The error is an *ErrTextEncoding if the prefix is unknown.
func (t *Text) UnmarshalJSON(data []byte) error {
	var encoded string
	if err := json.Unmarshal(data, &encoded); err != nil {
		return errors.Wrap(err, "decoding a turn's text from JSON")
	}
	if encoded == "" {
		*t = nil
		return nil
	}
	switch encoded[0] {
	case plainPrefix:
		*t = Text(encoded[1:])
	case base64Prefix:
		decoded, err := base64.StdEncoding.DecodeString(encoded[1:])
		if err != nil {
			return errors.Wrap(err, "decoding a turn's text from base64")
		}
		*t = decoded
	default:
		return errors.WithStack(&ErrTextEncoding{Prefix: encoded[:1]})
	}
	return nil
}
