package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	liveKind = "live_read"
	// liveWait is how long a reader waits for more of an answer before it asks again.
	liveWait = 5 * time.Second
)

type liveRequest struct {
	CallID string `json:"call"`
	// Offset is how many bytes of the answer the reader has.
	Offset int `json:"offset"`
}

type liveResponse struct {
	Found   bool   `json:"found"`
	Content string `json:"content,omitempty"`
	// Pieces is in how many pieces the engine has sent the text so far; each is a token at least.
	Pieces int64 `json:"pieces,omitempty"`
	// Ended tells that no more will come from here.
	Ended bool `json:"ended,omitempty"`
}

// liveAnswer is the text of a running answer, from its start. Live's mutex guards it.
type liveAnswer struct {
	content []byte
	pieces  int64
	ended   bool
	changed chan struct{}
}

// Live lets a repeat of a running call, at any gateway, follow its answer from the start.
type Live struct {
	network    *transport.Transport
	membership *membership.Manager

	mutex   sync.Mutex
	answers map[string]*liveAnswer
}

// NewLive returns a Live and registers its message.
func NewLive(network *transport.Transport, members *membership.Manager) *Live {
	live := &Live{network: network, membership: members, answers: make(map[string]*liveAnswer)}
	transport.Handle(network, liveKind, func(ctx context.Context, _ transport.Peer, request liveRequest) (liveResponse, error) {
		return live.read(ctx, request), nil
	})
	return live
}

// add appends a piece of a call's answer.
func (l *Live) add(callID, content string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	answer := l.answers[callID]
	if answer == nil {
		answer = &liveAnswer{changed: make(chan struct{})}
		l.answers[callID] = answer
	}
	answer.content = append(answer.content, content...)
	answer.pieces++
	close(answer.changed)
	answer.changed = make(chan struct{})
}

// end forgets a call's answer; its readers turn to the coordinator.
func (l *Live) end(callID string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	answer := l.answers[callID]
	if answer == nil {
		return
	}
	answer.ended = true
	close(answer.changed)
	delete(l.answers, callID)
}

// read waits for more than the reader has.
func (l *Live) read(ctx context.Context, request liveRequest) liveResponse {
	timer := time.NewTimer(liveWait)
	defer timer.Stop()
	l.mutex.Lock()
	answer := l.answers[request.CallID]
	l.mutex.Unlock()
	if answer == nil {
		return liveResponse{}
	}
	for {
		l.mutex.Lock()
		response := liveResponse{Found: true, Ended: answer.ended, Pieces: answer.pieces}
		if request.Offset >= 0 && request.Offset < len(answer.content) {
			response.Content = string(answer.content[request.Offset:])
		}
		changed := answer.changed
		l.mutex.Unlock()
		if response.Content != "" || response.Ended {
			return response
		}
		select {
		case <-changed:
		case <-timer.C:
			return response
		case <-ctx.Done():
			return response
		}
	}
}

// follow passes on what the gateway that executes a call has of its answer, until there is no more
// to be had from there.
func (l *Live) follow(ctx context.Context, gatewayID, callID string, pass func(content string, pieces int64)) {
	request := liveRequest{CallID: callID}
	for ctx.Err() == nil {
		response, err := l.ask(ctx, gatewayID, request)
		if err != nil || !response.Found {
			return
		}
		if response.Content != "" {
			pass(response.Content, response.Pieces)
			request.Offset += len(response.Content)
		}
		if response.Ended {
			return
		}
	}
}

func (l *Live) ask(ctx context.Context, gatewayID string, request liveRequest) (liveResponse, error) {
	view := l.membership.View()
	if gatewayID == view.Self.ID {
		return l.read(ctx, request), nil
	}
	member, known := view.Get(gatewayID)
	if !known || !member.Usable() {
		return liveResponse{}, nil
	}
	return transport.Call[liveResponse](ctx, l.network, member.Address, liveKind, request)
}
