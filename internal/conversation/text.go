package conversation

import (
	"encoding/base64"
	"encoding/json"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// Text is the text of a turn, any bytes. Texts are most of what replicas and gateways send each other, and
// base64, which JSON has for bytes, would make them a third longer. So a text that is valid UTF-8 is sent as
// a JSON string; the first character tells the form.
type Text []byte

const (
	plainForm  = '='
	base64Form = '+'
)

// ErrText means that a JSON string is no Text.
type ErrText struct{ Form string }

// Error implements error.
func (e *ErrText) Error() string { return "a text has the unknown form " + e.Form }

// MarshalJSON implements json.Marshaler.
func (t Text) MarshalJSON() ([]byte, error) {
	if utf8.Valid(t) {
		return json.Marshal(string(plainForm) + string(t))
	}
	return json.Marshal(string(base64Form) + base64.StdEncoding.EncodeToString(t))
}

// UnmarshalJSON implements json.Unmarshaler. The error is an ErrText for an unknown form.
func (t *Text) UnmarshalJSON(data []byte) error {
	var encoded string
	if err := json.Unmarshal(data, &encoded); err != nil {
		return errors.Wrap(err, "text")
	}
	if encoded == "" {
		*t = nil
		return nil
	}
	switch encoded[0] {
	case plainForm:
		*t = Text(encoded[1:])
	case base64Form:
		decoded, err := base64.StdEncoding.DecodeString(encoded[1:])
		if err != nil {
			return errors.Wrap(err, "text")
		}
		*t = decoded
	default:
		return errors.WithStack(&ErrText{Form: encoded[:1]})
	}
	return nil
}
