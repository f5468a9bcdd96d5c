package fatal

import "time"

// maxSound is how many requests a generation of soundRequests holds.
const maxSound = 4096

// soundRequests holds the requests that were completed lately, in two generations: the older one is dropped when the younger one is full, or as
// old as retention. The zero value is ready for use.
type soundRequests struct {
	young, old map[Key]struct{}
	// youngSince is when the younger generation began.
	youngSince time.Time
}

func (s *soundRequests) add(now time.Time, key Key) {
	s.age(now)
	s.young[key] = struct{}{}
}

func (s *soundRequests) has(now time.Time, key Key) bool {
	s.age(now)
	if _, found := s.young[key]; found {
		return true
	}
	_, found := s.old[key]
	return found
}

// age begins a new generation if the younger one is full or old.
func (s *soundRequests) age(now time.Time) {
	if s.young != nil && len(s.young) < maxSound && now.Sub(s.youngSince) < retention {
		return
	}
	s.young, s.old = make(map[Key]struct{}), s.young
	s.youngSince = now
}
