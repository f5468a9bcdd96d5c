package catalog

import (
	"sync"
	"time"
)

const (
	// replicaPatience and maxReplicaPatience bound how long an exchange waits for the replicas that it needs before it asks others, too. In between
	// it is patienceFactor times the mean response time: a node that is slow itself, or whose messages go through relays, would be slowed down further by
	// more messages.
	replicaPatience    = 40 * time.Millisecond
	maxReplicaPatience = 200 * time.Millisecond
	patienceFactor     = 3
	// responseWeight is the share of each response in the mean, as a divisor.
	responseWeight = 8
)

// responseTimes is the moving mean of the time that peers take to respond. The zero value is ready for use. All methods may be called concurrently.
type responseTimes struct {
	mutex sync.Mutex
	mean  time.Duration
}

func (r *responseTimes) note(taken time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.mean += (taken - r.mean) / responseWeight
}

// patience returns how long to wait for replicas before others are asked.
func (r *responseTimes) patience() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return min(max(patienceFactor*r.mean, replicaPatience), maxReplicaPatience)
}
