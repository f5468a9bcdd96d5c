package conversation

import (
	"encoding/base64"
	"encoding/json"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// Text is the text of a turn; it may hold arbitrary bytes. Texts are most of the traffic between replicas and
// gateways, so valid UTF-8 is encoded as a plain JSON string rather than in base64, which is a third longer.
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
	if utf8.Valid(t) {
		return json.Marshal(string(plainPrefix) + string(t))
	}
	return json.Marshal(string(base64Prefix) + base64.StdEncoding.EncodeToString(t))
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
