package ingress

import "bytes"

// eventScanner follows the bytes of an event stream (text/event-stream) as they pass, counts the
// events, and collects their data.
type eventScanner struct {
	// line is the part of a line that has arrived.
	line []byte
	// data holds the data lines of the event under way; hasData tells that there was one.
	data    []byte
	hasData bool
	count   int
	// output is the data of each whole event, each followed by a line feed.
	output []byte
	// keep tells whether output is wanted.
	keep bool
	// open tells that bytes of an event have passed whose end has not.
	open bool
	// lastID is the ID of the last whole event that had one; id is that of the event under way.
	lastID, id string
}

// write takes bytes. It returns how many events ended in them, and how many of the bytes lie before
// the end of the last of these.
func (s *eventScanner) write(chunk []byte) (ended, boundary int) {
	before := s.count
	for position := 0; position < len(chunk); {
		length := bytes.IndexByte(chunk[position:], '\n')
		if length < 0 {
			s.line = append(s.line, chunk[position:]...)
			s.open = true
			break
		}
		s.line = append(s.line, chunk[position:position+length]...)
		position += length + 1
		if s.endLine(bytes.TrimSuffix(s.line, []byte{'\r'})) {
			boundary = position
		}
		s.line = s.line[:0]
	}
	return s.count - before, boundary
}

// restart forgets the part of an event that was cut off; the events before it stay.
func (s *eventScanner) restart() {
	s.line = s.line[:0]
	s.data = s.data[:0]
	s.hasData = false
	s.open = false
	s.id = ""
}

// endLine reports whether the line ended an event.
func (s *eventScanner) endLine(line []byte) bool {
	if len(line) == 0 {
		s.endEvent()
		return true
	}
	s.open = true
	if id, isID := bytes.CutPrefix(line, []byte("id:")); isID {
		s.id = string(bytes.TrimPrefix(id, []byte{' '}))
		return false
	}
	value, isData := bytes.CutPrefix(line, []byte("data:"))
	if !isData {
		return false
	}
	value = bytes.TrimPrefix(value, []byte{' '})
	if s.hasData {
		s.data = append(s.data, '\n')
	}
	s.data = append(s.data, value...)
	s.hasData = true
	return false
}

func (s *eventScanner) endEvent() {
	s.open = false
	if !s.hasData {
		return
	}
	s.count++
	if s.id != "" {
		s.lastID = s.id
	}
	s.id = ""
	if s.keep {
		s.output = append(s.output, s.data...)
		s.output = append(s.output, '\n')
	}
	s.data = s.data[:0]
	s.hasData = false
}

// started is how many events have begun to pass; the caller may have read all of them.
func (s *eventScanner) started() int {
	if s.hasData || s.open {
		return s.count + 1
	}
	return s.count
}
