package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/coordinator"
	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/fatal"
	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	endsKind = "engine_ends"
	// endsTimeout bounds a round of messages to all nodes.
	endsTimeout = 60 * time.Millisecond
	// endsNewsDelay is how long after an interruption a call waits for other nodes' news of ends that came at the same time,
	// endsHoldTimeout how long until it is known whether it may be sent, and endsTurnInterval the mean time between two looks.
	endsNewsDelay    = 30 * time.Millisecond
	endsHoldTimeout  = time.Second
	endsTurnInterval = 20 * time.Millisecond
	// endProbeDelay is how long after an interruption an engine is probed, endProbeTimeout bounds the probe.
	endProbeDelay   = 5 * time.Millisecond
	endProbeTimeout = 100 * time.Millisecond
)

// EngineEnds knows the engines that ended under calls, and tells other nodes of them. It is safe for concurrent use.
type EngineEnds struct {
	network    *transport.Transport
	membership *membership.Manager
	tracker    *fatal.Tracker
	logger     *events.Logger

	mutex sync.Mutex
	// open holds the runs in progress at this node of contents under which engines may have ended, by content.
	open map[fatal.Key]map[string]struct{}
}

// endsMessage tells a node of ends of engines and asks for what it knows of a content.
type endsMessage struct {
	Reports   map[string]json.RawMessage `json:"reports,omitempty"`
	Withdrawn []string                   `json:"withdrawn,omitempty"`
	Content   fatal.Key                  `json:"content,omitempty"`
}

// endsReply has the ends under a content that a node knows, and its runs of it that are in progress.
type endsReply struct {
	Reports map[string]json.RawMessage `json:"reports,omitempty"`
	Open    []string                   `json:"open,omitempty"`
}

// NewEngineEnds returns an EngineEnds and registers its message handler.
func NewEngineEnds(network *transport.Transport, members *membership.Manager, logger *events.Logger) *EngineEnds {
	ends := &EngineEnds{network: network, membership: members, tracker: fatal.NewTracker(), logger: logger, open: make(map[fatal.Key]map[string]struct{})}
	transport.Handle(network, endsKind, func(_ context.Context, _ transport.Peer, message endsMessage) (endsReply, error) {
		return ends.serve(message), nil
	})
	return ends
}

// serve takes another node's news and returns what this one knows.
func (n *EngineEnds) serve(message endsMessage) endsReply {
	n.apply(message.Reports)
	for _, name := range message.Withdrawn {
		n.tracker.Withdraw(name)
	}
	if message.Content == "" {
		return endsReply{}
	}
	reply := endsReply{Reports: n.reports(message.Content)}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for run := range n.open[message.Content] {
		reply.Open = append(reply.Open, run)
	}
	return reply
}

func (n *EngineEnds) apply(reports map[string]json.RawMessage) {
	for name, encoded := range reports {
		report, err := fatal.DecodeReport(name, encoded)
		if err != nil {
			n.logger.Emit(events.ReportInvalid, events.F("error", err))
			continue
		}
		n.tracker.Apply(time.Now(), report)
	}
}

// reports returns the encoded reports of all ends under a content.
func (n *EngineEnds) reports(key fatal.Key) map[string]json.RawMessage {
	now := time.Now()
	// The names of reports are given by Unshared.
	if _, withdrawn := n.tracker.Unshared(now); len(withdrawn) > 0 {
		go n.tell(context.Background(), endsMessage{Withdrawn: withdrawn})
	}
	encoded := make(map[string]json.RawMessage)
	for _, report := range n.tracker.Reports(now, key) {
		value, err := report.Encode()
		if err != nil {
			n.logger.Emit(events.ReportInvalid, events.F("error", err))
			continue
		}
		encoded[report.Name()] = value
	}
	return encoded
}

// tell tells all other nodes and applies what they know. It returns how many runs of the content are in progress there. heard is false if there are
// others and none has answered.
func (n *EngineEnds) tell(ctx context.Context, message endsMessage) (open int, heard bool) {
	tellContext, cancel := context.WithTimeout(ctx, endsTimeout)
	defer cancel()
	var peers []transport.Peer
	for _, member := range n.membership.View().Usable() {
		if member.Address != "" && member.ID != n.network.NodeID() {
			peers = append(peers, transport.Peer{NodeID: member.ID, Address: member.Address})
		}
	}
	replies := make(chan *endsReply, len(peers))
	for _, peer := range peers {
		go func() {
			reply, err := transport.Call[endsReply](tellContext, n.network, peer, endsKind, message)
			if err != nil {
				replies <- nil
				return
			}
			replies <- &reply
		}()
	}
	heard = len(peers) == 0
	for range peers {
		if reply := <-replies; reply != nil {
			n.apply(reply.Reports)
			open += len(reply.Open)
			heard = true
		}
	}
	return open, heard
}

// callEnds follows one call.
type callEnds struct {
	ends *EngineEnds
	call fatal.Call
	// interrupted is set once a run was interrupted, the last one at brokenAt. run is the name of its runs.
	interrupted bool
	brokenAt    time.Time
	run         string
}

func (n *EngineEnds) follow(callID string, key fatal.Key) *callEnds {
	return &callEnds{ends: n, call: fatal.Call{Key: key, Request: callID}, run: strconv.FormatUint(rand.Uint64(), 36)}
}

// admit waits until the call may be sent to an engine, and reports whether it may not be sent again. It waits only if a run of its content was
// interrupted.
func (c *callEnds) admit(ctx context.Context) (isFatal bool) {
	tracker, key := c.ends.tracker, c.call.Key
	if tracker.Empty() || !tracker.Known(key) {
		return false
	}
	clock.Sleep(ctx, time.Until(c.brokenAt.Add(endsNewsDelay)))
	for startedAt := time.Now(); ctx.Err() == nil; {
		c.begin()
		open, heard := c.ends.tell(ctx, endsMessage{Content: key, Reports: c.ends.reports(key)})
		switch decision := fatal.Decide(tracker.Count(time.Now(), key), open); {
		case decision == fatal.Admit && heard:
			return false
		case decision == fatal.Refuse, time.Since(startedAt) > endsHoldTimeout:
			c.finish()
			c.logRefusal()
			return true
		}
		c.finish()
		clock.Sleep(ctx, endsTurnInterval/2+rand.N(endsTurnInterval))
	}
	return false
}

// logRefusal logs that the call is not sent again, once for its content.
func (c *callEnds) logRefusal() {
	if engines, isNew := c.ends.tracker.Refused(time.Now(), c.call.Key); isNew {
		c.ends.logger.Emit(events.RequestFatal, events.F("request", c.call.Request), events.F("content", string(c.call.Key)), events.F("engines", engines))
	}
}

// begin notes that a run is in progress, which other nodes hear of when they ask.
func (c *callEnds) begin() {
	c.ends.mutex.Lock()
	defer c.ends.mutex.Unlock()
	runs := c.ends.open[c.call.Key]
	if runs == nil {
		runs = make(map[string]struct{})
		c.ends.open[c.call.Key] = runs
	}
	runs[c.run] = struct{}{}
}

// finish undoes begin.
func (c *callEnds) finish() {
	c.ends.mutex.Lock()
	defer c.ends.mutex.Unlock()
	delete(c.ends.open[c.call.Key], c.run)
	if len(c.ends.open[c.call.Key]) == 0 {
		delete(c.ends.open, c.call.Key)
	}
}

// attempted records the result of an attempt at an engine. After a broken connection it finds out whether the engine has ended.
func (c *callEnds) attempted(ctx context.Context, target engine.Target, sentAt time.Time, err error) {
	if !isDisconnection(err) || ctx.Err() != nil {
		c.finish()
		return
	}
	now := time.Now()
	c.interrupted, c.brokenAt = true, now
	id := target.Pool + "/" + target.Name
	c.ends.tracker.Interrupted(now, c.call, fatal.Run{Engine: id, Service: target.Pool, Software: target.Software, SentAt: sentAt, BrokenAt: now})
	c.begin()
	clock.Sleep(ctx, endProbeDelay)
	probedAt := time.Now()
	switch refused, err := isRefused(ctx, target.URL); {
	case refused:
		if requests, isNew := c.ends.tracker.EngineEnded(time.Now(), id, target.Pool, false); isNew {
			c.ends.logger.Emit(events.EngineEnded, events.F("engine", id), events.F("service", target.Pool), events.F("proof", "refused"), events.F("requests", requests))
		}
	case err == nil:
		c.ends.tracker.EngineAlive(probedAt, id)
	}
	c.finish()
}

// ended records the end of the call. Other nodes know of the ends under a call that failed before its caller does.
func (c *callEnds) ended(ctx context.Context, completed bool) {
	c.finish()
	var withdrawn []string
	if completed {
		c.ends.tracker.Sound(time.Now(), c.call.Key)
		withdrawn = c.ends.tracker.Completed(c.call.Key)
	}
	switch {
	case len(withdrawn) > 0:
		go c.ends.tell(context.WithoutCancel(ctx), endsMessage{Withdrawn: withdrawn})
	case c.interrupted && !completed:
		c.ends.tell(context.WithoutCancel(ctx), endsMessage{Content: c.call.Key, Reports: c.ends.reports(c.call.Key)})
	}
}

// isDisconnection reports whether an engine closed or reset its connection while it ran a call.
func isDisconnection(err error) bool {
	var interrupted *engine.ErrInterrupted
	if !errors.As(err, &interrupted) {
		return false
	}
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// isRefused reports whether nothing listens at an engine's address. An error means that this could not be found out.
func isRefused(ctx context.Context, address string) (bool, error) {
	parsed, err := url.Parse(address)
	if err != nil {
		return false, errors.Wrap(err, "parsing the engine's URL")
	}
	host := parsed.Host
	if parsed.Port() == "" {
		host = net.JoinHostPort(parsed.Hostname(), map[string]string{"https": "443"}[parsed.Scheme])
	}
	dialer := &net.Dialer{Timeout: endProbeTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", host)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true, nil
	}
	if err != nil {
		return false, errors.Wrap(err, "probing the engine")
	}
	return false, errors.Wrap(connection.Close(), "probing the engine")
}

// contentOfCall returns the key of a call's content, which is equal for all attempts of its caller, also at other nodes.
func contentOfCall(tenant, service string, base program.HistoryMark, parts ...any) fatal.Key {
	encoded, err := json.Marshal(parts)
	if err != nil {
		// Parts come from a decoded request and can be encoded; without them, the parameters still distinguish calls.
		encoded = fmt.Append(nil, parts...)
	}
	return fatal.KeyOf(encoded, tenant, service, fmt.Sprint(base))
}

// endsEngines returns the error of a call that ends the engines that run it, and commits it.
func (e *execution) endsEngines(ctx context.Context, response coordinator.BeginResponse) error {
	e.release(*response.Engine, response.CallID, false, 0)
	failure := apierr.New(apierr.EndsEngines, apierr.Ran, "engines end when they run this call")
	return e.commitFailure(ctx, response, failure, nil)
}
