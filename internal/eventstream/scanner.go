package eventstream

import (
	"bytes"
	"strconv"
)

// event is one event of a stream.
type event struct {
	id string
	// data are its data lines, joined by line feeds; hasData tells that there was one.
	data    []byte
	hasData bool
	// version is that of the weights if it changes with this event.
	version string
}

// scanner follows the bytes of an event stream and finds where events end.
type scanner struct {
	versionField string
	// line is the part of a line that has arrived.
	line  []byte
	event event
	// fields tells that a line of the event has ended that is no comment.
	fields bool
}

// next takes bytes up to the end of an event, and tells whether one ended with them. The event stays until restart.
func (s *scanner) next(chunk []byte) (taken int, ended bool) {
	for taken < len(chunk) {
		length := bytes.IndexByte(chunk[taken:], '\n')
		if length < 0 {
			s.line = append(s.line, chunk[taken:]...)
			return len(chunk), false
		}
		s.line = append(s.line, chunk[taken:taken+length]...)
		taken += length + 1
		line := bytes.TrimSuffix(s.line, []byte{'\r'})
		s.line = s.line[:0]
		if len(line) == 0 {
			return taken, true
		}
		s.take(line)
	}
	return taken, false
}

// take reads one line of an event.
func (s *scanner) take(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	if len(name) == 0 {
		return
	}
	s.fields = true
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "id":
		s.event.id = string(value)
	case "data":
		if s.event.hasData {
			s.event.data = append(s.event.data, '\n')
		}
		s.event.data = append(s.event.data, value...)
		s.event.hasData = true
	case s.versionField:
		s.event.version = string(value)
	}
}

// restart forgets the event.
func (s *scanner) restart() {
	s.line = s.line[:0]
	s.event = event{data: s.event.data[:0]}
	s.fields = false
}

// open tells whether a part of an event has come and its end has not. Comments are no part.
func (s *scanner) open() bool {
	return s.fields || (len(s.line) > 0 && s.line[0] != ':')
}

// rises tells whether an event with the ID next may come after one with the ID last. IDs that are no whole numbers have
// no order; they must differ.
func rises(last, next string) bool {
	before, errBefore := strconv.ParseUint(last, 10, 64)
	after, errAfter := strconv.ParseUint(next, 10, 64)
	if errBefore != nil || errAfter != nil {
		return last != next
	}
	return after > before
}
