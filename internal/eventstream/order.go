package eventstream

import "strings"

// maxTrackedIDs bounds the non-numeric event IDs that are tracked per stream. A stream with more of them can't be resumed.
const maxTrackedIDs = 4096

// idOrder detects repeated events by their IDs. Numeric IDs must increase; other IDs must not
// repeat.
type idOrder struct {
	// highest is the highest numeric ID without leading zeros; empty if there was none.
	highest string
	// seen holds the non-numeric IDs; overflowed is set once there were more than maxTrackedIDs.
	seen       map[string]struct{}
	overflowed bool
}

// mayFollow reports whether an event with this ID may come next.
func (o *idOrder) mayFollow(id string) bool {
	if number, ok := parseNumber(id); ok {
		return o.highest == "" || numberLess(o.highest, number)
	}
	_, known := o.seen[id]
	return !known
}

// record adds the ID of a received event.
func (o *idOrder) record(id string) {
	if number, ok := parseNumber(id); ok {
		o.highest = number
		return
	}
	if len(o.seen) >= maxTrackedIDs {
		o.overflowed = true
		return
	}
	if o.seen == nil {
		o.seen = make(map[string]struct{})
	}
	o.seen[id] = struct{}{}
}

// parseNumber returns the digits of a non-negative integer without leading zeros.
func parseNumber(id string) (number string, ok bool) {
	if id == "" || strings.Trim(id, "0123456789") != "" {
		return "", false
	}
	number = strings.TrimLeft(id, "0")
	if number == "" {
		number = "0"
	}
	return number, true
}

// numberLess compares decimal integers of any length.
func numberLess(first, second string) bool {
	if len(first) != len(second) {
		return len(first) < len(second)
	}
	return first < second
}
