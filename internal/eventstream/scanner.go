package eventstream

import "bytes"

// event is one event of a stream.
type event struct {
	id string
	// data are its data lines, joined by line feeds; hasData tells that there was one.
	data    []byte
	hasData bool
	// version is that of the weights if it changes with this event.
	version string
}

// scanner follows the bytes of an event stream and finds where events end. Lines end with a line feed, a carriage return, or
// both.
type scanner struct {
	versionField string
	// line is the part of a line that has arrived. A carriage return at its end may be the first half of a line's end.
	line  []byte
	event event
	// fields tells that a line of the event has ended that belongs to it, unlike comments and pauses before a retry.
	fields bool
	// size is how many bytes of the event are remembered.
	size int
	// begun tells that a line of the body has ended: a byte order mark may stand before the first.
	begun bool
}

const (
	// retryField tells how long a caller is to wait before it comes back.
	retryField    = "retry"
	lineEnds      = "\r\n"
	byteOrderMark = "\ufeff"
)

// next takes bytes up to the end of an event, and tells whether one ended with them. The event stays until restart.
func (s *scanner) next(chunk []byte) (taken int, ended bool) {
	for taken < len(chunk) {
		if s.returned() && chunk[taken] != '\n' {
			// The carriage return alone was the line's end.
			if s.endLine() {
				return taken, true
			}
			continue
		}
		length := bytes.IndexAny(chunk[taken:], lineEnds)
		if length < 0 {
			s.add(chunk[taken:])
			return len(chunk), false
		}
		s.add(chunk[taken : taken+length+1])
		taken += length + 1
		if !s.returned() && s.endLine() {
			return taken, true
		}
	}
	return taken, false
}

// add remembers a part of a line.
func (s *scanner) add(part []byte) {
	s.line = append(s.line, part...)
	s.size += len(part)
}

// returned tells whether the line has a carriage return at its end.
func (s *scanner) returned() bool {
	return len(s.line) > 0 && s.line[len(s.line)-1] == '\r'
}

// endLine reads the line, whose end has come, and tells whether it is the one that ends an event.
func (s *scanner) endLine() bool {
	line := bytes.TrimRight(s.line, lineEnds)
	if !s.begun {
		line = bytes.TrimPrefix(line, []byte(byteOrderMark))
		s.begun = true
	}
	s.line = s.line[:0]
	if len(line) == 0 {
		return true
	}
	s.take(line)
	return false
}

// finish takes the end of the body, which may have come after a carriage return, and tells whether an event ended with it.
func (s *scanner) finish() bool {
	return s.returned() && s.endLine()
}

// take reads one line of an event.
func (s *scanner) take(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	if len(name) == 0 {
		return
	}
	s.fields = s.fields || string(name) != retryField
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

// restart forgets the event; the next one is of the same body.
func (s *scanner) restart() {
	s.line = s.line[:0]
	s.event = event{data: s.event.data[:0]}
	s.fields = false
	s.size = 0
}

// restartBody forgets what has come of a body; another one begins.
func (s *scanner) restartBody() {
	s.restart()
	s.begun = false
}

// open tells whether a part of an event has come and its end has not. Comments are no part.
func (s *scanner) open() bool {
	line := bytes.TrimRight(s.line, lineEnds)
	return s.fields || (len(line) > 0 && line[0] != ':')
}
