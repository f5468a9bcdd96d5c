package fatal

import "time"

const (
	// maxSound is how many requests a generation of soundRequests holds.
	maxSound = 4096
	// soundRetention is how long a request is known to be sound at least, unless there are more than maxSound others.
	soundRetention = retention
)

// soundKey is a request that engines with a version of the software have completed.
type soundKey struct {
	key      Key
	software string
}

// soundRequests holds the requests that were completed lately, in two generations: the older one is dropped when the younger one is full or old.
// The zero value is ready for use.
type soundRequests struct {
	young, old map[soundKey]struct{}
	// youngSince is when the younger generation began.
	youngSince time.Time
}

func (s *soundRequests) add(now time.Time, request soundKey) {
	s.age(now)
	s.young[request] = struct{}{}
}

func (s *soundRequests) has(now time.Time, request soundKey) bool {
	s.age(now)
	if _, found := s.young[request]; found {
		return true
	}
	_, found := s.old[request]
	return found
}

// age begins a new generation if the younger one is full or old.
func (s *soundRequests) age(now time.Time) {
	if s.young != nil && len(s.young) < maxSound && now.Sub(s.youngSince) < soundRetention {
		return
	}
	s.young, s.old = make(map[soundKey]struct{}), s.young
	s.youngSince = now
}
