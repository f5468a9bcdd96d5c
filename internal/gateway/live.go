package gateway

import (
	"context"
	"math/rand/v2"
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
	// Answer is the one of which the reader has them, 0 before the first response.
	Answer uint64 `json:"answer,omitempty"`
}

type liveResponse struct {
	Found bool `json:"found"`
	// Answer names the answer. A call that is executed anew has another one, whose text need not be the same.
	Answer  uint64 `json:"answer,omitempty"`
	Content string `json:"content,omitempty"`
	// Pieces is in how many pieces the engine has sent the text so far; each is a token at least.
	Pieces int64 `json:"pieces,omitempty"`
	// Ended tells that no more will come from here.
	Ended bool `json:"ended,omitempty"`
}

// liveAnswer is the text of a running answer, from its start. AnswerRelay's mutex guards it.
type liveAnswer struct {
	id      uint64
	content []byte
	pieces  int64
	ended   bool
	changed chan struct{}
}

// AnswerRelay lets a repeat of a running call, at any gateway, follow its answer from the start.
type AnswerRelay struct {
	network    *transport.Transport
	membership *membership.Manager

	mutex   sync.Mutex
	answers map[string]*liveAnswer
	// lastID is that of the latest answer. It begins by chance, so that a gateway which was restarted names none as before.
	lastID uint64
}

// NewAnswerRelay returns an AnswerRelay and registers its message.
func NewAnswerRelay(network *transport.Transport, members *membership.Manager) *AnswerRelay {
	live := &AnswerRelay{network: network, membership: members, answers: make(map[string]*liveAnswer), lastID: rand.Uint64() >> 1}
	transport.Handle(network, liveKind, func(ctx context.Context, _ transport.Peer, request liveRequest) (liveResponse, error) {
		return live.read(ctx, request), nil
	})
	return live
}

// livePublisher is where the one request that executes a call puts its answer. A nil publisher
// takes everything and publishes nothing.
type livePublisher struct {
	live   *AnswerRelay
	callID string
	answer *liveAnswer
}

// publish starts a call's answer with what is there already, from an attempt that was lost. An
// answer that an earlier execution left under the same call ends.
func (l *AnswerRelay) publish(callID, content string, pieces int64) *livePublisher {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if earlier := l.answers[callID]; earlier != nil {
		earlier.end()
	}
	l.lastID++
	answer := &liveAnswer{id: l.lastID, content: []byte(content), pieces: pieces, changed: make(chan struct{})}
	l.answers[callID] = answer
	return &livePublisher{live: l, callID: callID, answer: answer}
}

// end wakes the readers for the last time; AnswerRelay's mutex is held.
func (a *liveAnswer) end() {
	if !a.ended {
		a.ended = true
		close(a.changed)
	}
}

// add appends a piece.
func (p *livePublisher) add(content string) {
	if p == nil {
		return
	}
	p.live.mutex.Lock()
	defer p.live.mutex.Unlock()
	if p.answer.ended {
		return
	}
	p.answer.content = append(p.answer.content, content...)
	p.answer.pieces++
	close(p.answer.changed)
	p.answer.changed = make(chan struct{})
}

// close ends the answer; its readers turn to the coordinator.
func (p *livePublisher) close() {
	if p == nil {
		return
	}
	p.live.mutex.Lock()
	defer p.live.mutex.Unlock()
	p.answer.end()
	if p.live.answers[p.callID] == p.answer {
		delete(p.live.answers, p.callID)
	}
}

// read waits for more than the reader has.
func (l *AnswerRelay) read(ctx context.Context, request liveRequest) liveResponse {
	timer := time.NewTimer(liveWait)
	defer timer.Stop()
	l.mutex.Lock()
	answer := l.answers[request.CallID]
	l.mutex.Unlock()
	if answer == nil || request.Answer != 0 && request.Answer != answer.id {
		return liveResponse{}
	}
	for {
		l.mutex.Lock()
		response := liveResponse{Found: true, Answer: answer.id, Ended: answer.ended, Pieces: answer.pieces}
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

// follow passes on what the gateway that executes a call has of its answer, from the start, until
// there is no more to be had from there or pass returns false.
func (l *AnswerRelay) follow(ctx context.Context, gatewayID, callID string, pass func(content string, pieces int64) bool) {
	request := liveRequest{CallID: callID}
	for ctx.Err() == nil {
		response, err := l.ask(ctx, gatewayID, request)
		if err != nil || !response.Found {
			return
		}
		if response.Content != "" && !pass(response.Content, response.Pieces) {
			return
		}
		request.Answer = response.Answer
		request.Offset += len(response.Content)
		if response.Ended {
			return
		}
	}
}

func (l *AnswerRelay) ask(ctx context.Context, gatewayID string, request liveRequest) (liveResponse, error) {
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
