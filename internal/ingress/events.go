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
}

// write takes bytes and returns how many events ended in them.
func (s *eventScanner) write(chunk []byte) int {
	before := s.count
	for len(chunk) > 0 {
		end := bytes.IndexByte(chunk, '\n')
		if end < 0 {
			s.line = append(s.line, chunk...)
			s.open = true
			break
		}
		s.line = append(s.line, chunk[:end]...)
		chunk = chunk[end+1:]
		s.endLine(bytes.TrimSuffix(s.line, []byte{'\r'}))
		s.line = s.line[:0]
	}
	return s.count - before
}

func (s *eventScanner) endLine(line []byte) {
	if len(line) == 0 {
		s.endEvent()
		return
	}
	s.open = true
	value, isData := bytes.CutPrefix(line, []byte("data:"))
	if !isData {
		return
	}
	value = bytes.TrimPrefix(value, []byte{' '})
	if s.hasData {
		s.data = append(s.data, '\n')
	}
	s.data = append(s.data, value...)
	s.hasData = true
}

func (s *eventScanner) endEvent() {
	s.open = false
	if !s.hasData {
		return
	}
	s.count++
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
