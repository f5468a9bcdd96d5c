package eventstream

import "strings"

// maximalRememberedIDs bounds how many IDs without an order are remembered of one stream.
const maximalRememberedIDs = 4096

// idOrder tells whether an event may come after those that a caller has. IDs that are whole numbers rise. Others have
// no order: they must not come twice.
type idOrder struct {
	// greatest is the highest number, without leading zeros; empty if there was none.
	greatest string
	// names are the IDs that are no numbers; overflown tells that there were more than are remembered.
	names     map[string]struct{}
	overflown bool
}

// allows tells whether the ID may come next.
func (o *idOrder) allows(id string) bool {
	if number, ok := numberOf(id); ok {
		return o.greatest == "" || numberLess(o.greatest, number)
	}
	_, seen := o.names[id]
	return !seen
}

// take remembers an ID.
func (o *idOrder) take(id string) {
	if number, ok := numberOf(id); ok {
		o.greatest = number
		return
	}
	if len(o.names) >= maximalRememberedIDs {
		o.overflown = true
		return
	}
	if o.names == nil {
		o.names = make(map[string]struct{})
	}
	o.names[id] = struct{}{}
}

// numberOf returns the digits of a whole number without its leading zeros.
func numberOf(id string) (number string, ok bool) {
	if id == "" || strings.Trim(id, "0123456789") != "" {
		return "", false
	}
	number = strings.TrimLeft(id, "0")
	if number == "" {
		number = "0"
	}
	return number, true
}

// numberLess compares whole numbers of any length.
func numberLess(first, second string) bool {
	if len(first) != len(second) {
		return len(first) < len(second)
	}
	return first < second
}
