// Package configstore is the port to the platform's key-value service. Only its adapters know a
// wire format.
package configstore

import "context"

// Entry is a stored value with the store's revision of its last change; revision 0 means absent.
type Entry struct {
	Value    []byte
	Revision int64
}

// Write is one key of a transaction.
type Write struct {
	Key   string
	Value []byte
}

// Event tells that a watched key changed.
type Event struct {
	Entry Entry
	// Lost means that the watch may have missed changes: read the key again.
	Lost bool
}

// ErrConflict means that the compared key had changed; nothing was written.
type ErrConflict struct {
	Key    string
	Actual Entry
}

// Error implements error.
func (e *ErrConflict) Error() string { return "key " + e.Key + " was changed by somebody else" }

// ErrUnavailable means that the store did not answer or refused. A write may have taken effect.
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

// Store is what the product needs of the service.
type Store interface {
	// Get reads one key; an absent key is an Entry with revision 0.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes all values if key still has the given revision (0: is absent).
	// Errors: *ErrConflict, *ErrUnavailable.
	CompareAndSwap(ctx context.Context, key string, revision int64, writes []Write) error
	// Watch delivers changes of key until the context ends or the store fails.
	Watch(ctx context.Context, key string, deliver func(Event)) error
}
