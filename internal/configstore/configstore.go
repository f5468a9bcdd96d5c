// Package configstore defines the interface to the key-value store that holds the configuration. Its
// implementations, such as etcdgateway, speak the store's protocol.
package configstore

import "context"

// Entry is a stored value with the store's revision at its last change. Revision 0 means that the key is absent.
type Entry struct {
	Value    []byte
	Revision int64
}

// Write is a key that a transaction sets.
type Write struct {
	Key   string
	Value []byte
}

// Event reports a change of a watched key.
type Event struct {
	Entry Entry
	// Lost means that the watch may have missed changes, so the key must be read again.
	Lost bool
}

// ErrConflict means that the compared key had changed and nothing was written.
type ErrConflict struct {
	Key    string
	Actual Entry
}

// Error implements error.
func (e *ErrConflict) Error() string { return "key " + e.Key + " was changed by another writer" }

// ErrUnavailable means that the store did not respond or refused the request. Unless RateLimited is set, a
// write may have taken effect.
type ErrUnavailable struct {
	Operation string
	Cause     error
	// RateLimited means that the store refused the request without executing it.
	RateLimited bool
}

// Error implements error.
func (e *ErrUnavailable) Error() string {
	return "configuration store: " + e.Operation + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ErrUnavailable) Unwrap() error { return e.Cause }

// Store is a key-value store with compare-and-swap and watches.
type Store interface {
	// Get reads one key. For an absent key it returns an Entry with revision 0.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes all values if key still has the given revision; 0 means that it must be absent.
	// Errors: *ErrConflict, *ErrUnavailable.
	CompareAndSwap(ctx context.Context, key string, revision int64, writes []Write) error
	// Watch delivers changes of key until ctx is done or the store fails. It always returns an error.
	Watch(ctx context.Context, key string, deliver func(Event)) error
}
