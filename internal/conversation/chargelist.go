package conversation

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ChargeList holds the charges of one program, which replicas send whenever a turn is opened. It is encoded
// as one text, much shorter than a JSON array: the charges are separated by commas, each an ID, a colon and the
// number of tokens, followed by an exclamation mark if it is settled. Programs and engines are not
// encoded: the receiver has requested the charges of one program.
type ChargeList []Charge

const (
	chargeSeparator = ","
	tokensSeparator = ":"
	settledSuffix   = "!"
)

// ErrInvalidChargeList means that a text can't be decoded as a ChargeList, or that a charge's ID can't be encoded in one.
type ErrInvalidChargeList struct{ Text string }

// Error implements error.
func (e *ErrInvalidChargeList) Error() string { return "invalid charge list: " + strconv.Quote(e.Text) }

// MarshalText implements encoding.TextMarshaler. The error is an *ErrInvalidChargeList.
func (c ChargeList) MarshalText() ([]byte, error) {
	var text []byte
	for _, charge := range c {
		if strings.ContainsAny(charge.Turn, chargeSeparator+tokensSeparator+settledSuffix) {
			return nil, errors.WithStack(&ErrInvalidChargeList{Text: charge.Turn})
		}
		if len(text) > 0 {
			text = append(text, chargeSeparator...)
		}
		text = append(append(text, charge.Turn...), tokensSeparator...)
		text = strconv.AppendInt(text, charge.Tokens, 10)
		if charge.Settled {
			text = append(text, settledSuffix...)
		}
	}
	return text, nil
}

// UnmarshalText implements encoding.TextUnmarshaler. The error is an *ErrInvalidChargeList.
func (c *ChargeList) UnmarshalText(text []byte) error {
	*c = nil
	if len(text) == 0 {
		return nil
	}
	for _, part := range strings.Split(string(text), chargeSeparator) {
		id, amount, found := strings.Cut(part, tokensSeparator)
		amount, settled := strings.CutSuffix(amount, settledSuffix)
		tokens, err := strconv.ParseInt(amount, 10, 64)
		if !found || err != nil {
			return errors.WithStack(&ErrInvalidChargeList{Text: part})
		}
		*c = append(*c, Charge{Turn: id, Tokens: tokens, Settled: settled})
	}
	return nil
}
