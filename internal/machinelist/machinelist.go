// Package machinelist is the port to the platform's list of live and leaving machines. The list
// lags, so that it is a hint only: it can make a node begin its own planned stop, and nothing else.
package machinelist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// State is what the platform plans for a machine.
type State string

// The states that matter here; any other counts as live.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Machine is one entry of the list.
type Machine struct {
	Address string `json:"address"`
	State   State  `json:"state"`
}

// Lister is what the product needs of the platform.
type Lister interface {
	List(ctx context.Context) ([]Machine, error)
}

const (
	pollInterval = 5 * time.Second
	listTimeout  = 3 * time.Second
	maxListBytes = 4 << 20
)

// ErrUnavailable means that the list could not be read.
type ErrUnavailable struct{ Status int }

// Error implements error.
func (e *ErrUnavailable) Error() string { return "machine list: " + http.StatusText(e.Status) }

// Client reads the list as JSON.
type Client struct {
	endpoint string
	client   *http.Client
}

// NewClient returns the adapter for a list at endpoint.
func NewClient(endpoint string) *Client {
	return &Client{endpoint: endpoint, client: &http.Client{Timeout: listTimeout}}
}

// List implements Lister.
func (h *Client) List(ctx context.Context) ([]Machine, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.endpoint, nil)
	if err != nil {
		return nil, errors.Wrap(err, "building the request")
	}
	response, err := h.client.Do(request)
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

// Watch calls leaving once when the list says that a machine is to leave, and returns then or when
// the context ends. Failures are only reported: a list that is away says nothing.
func Watch(ctx context.Context, lister Lister, address string, leaving func(), failed func(error)) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		machines, err := lister.List(ctx)
		if err != nil && ctx.Err() == nil {
			failed(err)
		}
		for _, machine := range machines {
			if machine.Address == address && machine.State == Leaving {
				leaving()
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
