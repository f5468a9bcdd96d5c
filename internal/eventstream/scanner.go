package eventstream

import "bytes"

// event is one event of a stream.
type event struct {
	id string
	// data is the event's data lines joined by line feeds; hasData is set if it has at least one.
	data    []byte
	hasData bool
	// version is the value of the version field, the new version of the model's weights; empty if the event has none.
	version string
}

// scanner parses an event stream incrementally and finds the ends of events. Lines end with LF, CR
// or CRLF.
type scanner struct {
	versionField string
	// line is the received part of the current line. A CR at its end may be the first half of a
	// CRLF.
	line  []byte
	event event
	// hasFields is set once the event has a complete line with a field other than retry. Comments and retry
	// fields alone are no event, so a body that ends after them has not lost one.
	hasFields bool
	// size is the number of bytes received for the current event.
	size int
	// idleBytes is the number of bytes of complete lines since the last event with data that belong to no event: comments,
	// retry fields and blank lines.
	idleBytes int
	// sawLine is set after the first line of the body, which may begin with a byte order mark.
	sawLine bool
}

const (
	// retryField sets the client's reconnection delay.
	retryField      = "retry"
	lineTerminators = "\r\n"
	byteOrderMark   = "\ufeff"
)

// next consumes bytes up to the end of an event and reports whether one is complete. The event
// remains available until resetEvent.
func (s *scanner) next(chunk []byte) (consumed int, complete bool) {
	for consumed < len(chunk) {
		if s.endsWithCR() && chunk[consumed] != '\n' {
			// The CR alone terminated the line.
			if s.finishLine() {
				return consumed, true
			}
			continue
		}
		length := bytes.IndexAny(chunk[consumed:], lineTerminators)
		if length < 0 {
			s.appendPart(chunk[consumed:])
			return len(chunk), false
		}
		s.appendPart(chunk[consumed : consumed+length+1])
		consumed += length + 1
		if !s.endsWithCR() && s.finishLine() {
			return consumed, true
		}
	}
	return consumed, false
}

// appendPart appends bytes to the current line.
func (s *scanner) appendPart(part []byte) {
	s.line = appendLarge(s.line, part)
	s.size += len(part)
}

// appendLarge is like append, but doubles large buffers, too: append lets them grow in small steps, each of which leaves a copy for the
// garbage collector.
func appendLarge(buffer, part []byte) []byte {
	if size := len(buffer) + len(part); size > cap(buffer) && size > reserveBytes {
		buffer = double(buffer, size)
	}
	return append(buffer, part...)
}

// double copies a buffer to one of twice the capacity, or of the size if that is larger.
func double(buffer []byte, size int) []byte {
	larger := make([]byte, len(buffer), max(2*cap(buffer), size))
	copy(larger, buffer)
	return larger
}

// endsWithCR reports whether the current line ends with a carriage return.
func (s *scanner) endsWithCR() bool {
	return len(s.line) > 0 && s.line[len(s.line)-1] == '\r'
}

// finishLine parses the complete current line and reports whether it is the blank line that ends an
// event.
func (s *scanner) finishLine() bool {
	line := bytes.TrimRight(s.line, lineTerminators)
	if !s.sawLine {
		line = bytes.TrimPrefix(line, []byte(byteOrderMark))
		s.sawLine = true
	}
	s.line = s.line[:0]
	switch {
	case len(line) > 0:
		s.parseField(line)
		return false
	case s.event.hasData:
		s.idleBytes = 0
	default:
		s.idleBytes++
	}
	return true
}

// idle returns the number of bytes since the last event with data that belong to no event, including an incomplete comment.
func (s *scanner) idle() int {
	if len(s.line) == 0 || s.line[0] != ':' {
		return s.idleBytes
	}
	return s.idleBytes + len(s.line)
}

// finishBody handles the end of the body and reports whether a trailing CR completed an event.
func (s *scanner) finishBody() bool {
	return s.endsWithCR() && s.finishLine()
}

// parseField parses one line of an event.
func (s *scanner) parseField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	if len(name) == 0 || (!s.hasFields && string(name) == retryField) {
		s.idleBytes += len(line) + 1
		return
	}
	s.hasFields = true
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "id":
		s.event.id = string(value)
	case "data":
		if s.event.hasData {
			s.event.data = append(s.event.data, '\n')
		}
		s.event.data = appendLarge(s.event.data, value)
		s.event.hasData = true
	case s.versionField:
		s.event.version = string(value)
	}
}

// resetEvent prepares for the next event of the same body.
func (s *scanner) resetEvent() {
	s.line = s.line[:0]
	s.event = event{data: s.event.data[:0]}
	s.hasFields = false
	s.size = 0
}

// resetBody prepares for a new body.
func (s *scanner) resetBody() {
	s.resetEvent()
	s.idleBytes = 0
	s.sawLine = false
}

// inEvent reports whether an event has begun and is not complete. Comments are not part of an
// event.
func (s *scanner) inEvent() bool {
	line := bytes.TrimRight(s.line, lineTerminators)
	return s.hasFields || (len(line) > 0 && line[0] != ':')
}
