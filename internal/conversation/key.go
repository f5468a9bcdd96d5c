package conversation

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// The first character of an encoded key is the kind of its record.
const (
	turnKey     = 't'
	reservedKey = 'r'
	settledKey  = 's'
)

// ErrInvalidKey means that a text can't be decoded as a Key.
type ErrInvalidKey struct{ Text string }

// Error implements error.
func (e *ErrInvalidKey) Error() string { return "invalid record key: " + strconv.Quote(e.Text) }

// MarshalText implements encoding.TextMarshaler. A turn is encoded as its kind and its ID; a charge as its
// kind, the length of its ID in bytes, a colon, its ID and its program.
func (k Key) MarshalText() ([]byte, error) {
	if !k.Charge {
		return append([]byte{turnKey}, k.Turn...), nil
	}
	kind := byte(reservedKey)
	if k.Settled {
		kind = settledKey
	}
	text := strconv.AppendInt([]byte{kind}, int64(len(k.Turn)), 10)
	text = append(append(text, ':'), k.Turn...)
	return append(text, k.Program...), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. The error is an *ErrInvalidKey.
func (k *Key) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		return errors.WithStack(&ErrInvalidKey{})
	}
	kind, rest := text[0], string(text[1:])
	if kind == turnKey {
		*k = Key{Turn: rest}
		return nil
	}
	length, ids, found := strings.Cut(rest, ":")
	size, err := strconv.Atoi(length)
	if !found || err != nil || size < 0 || size > len(ids) || (kind != reservedKey && kind != settledKey) {
		return errors.WithStack(&ErrInvalidKey{Text: string(text)})
	}
	*k = Key{Turn: ids[:size], Program: ids[size:], Charge: true, Settled: kind == settledKey}
	return nil
}
