package conversation

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// The first character of a key's text says what it is a version of.
const (
	turnKey     = 't'
	reservedKey = 'r'
	settledKey  = 's'
)

// ErrKey means that a text is no key.
type ErrKey struct{ Text string }

// Error implements error.
func (e *ErrKey) Error() string { return "no key of a record: " + strconv.Quote(e.Text) }

// MarshalText implements encoding.TextMarshaler: the kind, and for a charge the length of its name, a colon, the name and
// the program.
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

// UnmarshalText implements encoding.TextUnmarshaler. The error is an ErrKey.
func (k *Key) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		return errors.WithStack(&ErrKey{})
	}
	kind, rest := text[0], string(text[1:])
	if kind == turnKey {
		*k = Key{Turn: rest}
		return nil
	}
	length, names, found := strings.Cut(rest, ":")
	size, err := strconv.Atoi(length)
	if !found || err != nil || size < 0 || size > len(names) || (kind != reservedKey && kind != settledKey) {
		return errors.WithStack(&ErrKey{Text: string(text)})
	}
	*k = Key{Turn: names[:size], Program: names[size:], Charge: true, Settled: kind == settledKey}
	return nil
}
