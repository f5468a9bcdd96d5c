// Package machinelist reads the platform's list of live and leaving machines. The list may be out of date, so it is
// only used to start a node's own graceful shutdown.
package machinelist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/responsecheck"
)

// State is the state of a machine in the platform's list.
type State string

// The known states. Any other state is treated as Live.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Machine is one entry of the list.
type Machine struct {
	Address string `json:"address"`
	State   State  `json:"state"`
}

// Lister reads the machine list.
type Lister interface {
	List(ctx context.Context) ([]Machine, error)
}

const (
	pollInterval   = 5 * time.Second
	requestTimeout = 3 * time.Second
	maxListBytes   = 4 << 20
)

// ErrUnavailable means that the request for the list was answered with an HTTP status other than 200.
type ErrUnavailable struct{ Status int }

// Error implements error.
func (e *ErrUnavailable) Error() string {
	return "the request for the machine list was answered with HTTP status " + http.StatusText(e.Status)
}

// Client reads the list as JSON over HTTP.
type Client struct {
	url    string
	client *http.Client
}

// NewClient returns a Client for the list at a URL.
func NewClient(url string) *Client {
	return &Client{url: url, client: &http.Client{Timeout: requestTimeout, Transport: responsecheck.NewTransport(http.DefaultTransport)}}
}

// List implements Lister.
func (c *Client) List(ctx context.Context) ([]Machine, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "creating the request for the machine list")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "reading the machine list")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, &ErrUnavailable{Status: response.StatusCode}
	}
	var machines []Machine
	err = json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&machines)
	return machines, errors.Wrap(err, "decoding the machine list")
}

// Watch polls the list until the machine with an address is leaving, then calls onLeaving and returns. It also returns
// when the context ends. Errors are passed to onError and otherwise ignored, because an unavailable list carries no
// information about the machine.
func Watch(ctx context.Context, lister Lister, address string, onLeaving func(), onError func(error)) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		machines, err := lister.List(ctx)
		if err != nil && ctx.Err() == nil {
			onError(err)
		}
		for _, machine := range machines {
			if machine.Address == address && machine.State == Leaving {
				onLeaving()
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
