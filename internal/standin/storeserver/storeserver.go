// Package storeserver emulates the platform's key-value service: the parts of the etcd v3 JSON gateway
// that this project uses, in memory. At run time it can inject a rate limit, outages, delays, lost
// responses, compaction and rollback.
package storeserver

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/mountstile/mountstile/internal/configstore/etcdgateway"
)

// Paths of leases and of the control API, in addition to those of etcdgateway.
const (
	FaultsPath         = "/faults"
	RollbackPath       = "/rollback"
	CompactPath        = "/compact"
	LeaseGrantPath     = "/v3/lease/grant"
	LeaseKeepAlivePath = "/v3/lease/keepalive"
	LeaseRevokePath    = "/v3/lease/revoke"
	CountsPath         = "/counts"
)

const maxBodyBytes = 32 << 20

// Faults selects the faults that the store injects.
type Faults struct {
	// Down rejects every request with status 503 and ends the watches.
	Down bool `json:"down,omitempty"`
	// DelayMillis delays every request by this number of milliseconds.
	DelayMillis int `json:"delay_ms,omitempty"`
	// LoseAnswers executes transactions, but loses their responses: it aborts the connection instead.
	LoseAnswers bool `json:"lose_answers,omitempty"`
	// DropEvents drops watch events.
	DropEvents bool `json:"drop_events,omitempty"`
	// RequestsPerSecond is the rate limit; 0 means none.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
}

// Counts holds the numbers of requests by kind, and of those rejected by the rate limit.
type Counts struct {
	Ranges       int64 `json:"ranges"`
	Transactions int64 `json:"transactions"`
	Watches      int64 `json:"watches"`
	Limited      int64 `json:"limited"`
}

type version struct {
	value    []byte
	revision int64
	lease    int64
	deleted  bool
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Server serves the store as an http.Handler.
type Server struct {
	mux *http.ServeMux

	mutex    sync.Mutex
	revision int64
	// compacted is the store's revision at the last compaction.
	compacted int64
	// history holds the versions of each key, oldest first.
	history map[string][]version
	// watchers holds a channel for each watch, which signals a change.
	watchers map[chan struct{}]struct{}
	leases   map[int64]lease
	faults   Faults
	limiter  *rate.Limiter
	counts   Counts
}

// New returns an empty store.
func New() *Server {
	server := &Server{
		mux:      http.NewServeMux(),
		revision: 1,
		history:  make(map[string][]version),
		watchers: make(map[chan struct{}]struct{}),
		leases:   make(map[int64]lease),
		limiter:  rate.NewLimiter(rate.Inf, 1),
	}
	server.mux.HandleFunc("POST "+etcdgateway.RangePath, server.withFaults(server.handleRange))
	server.mux.HandleFunc("POST "+etcdgateway.TxnPath, server.withFaults(server.handleTxn))
	server.mux.HandleFunc("POST "+etcdgateway.WatchPath, server.withFaults(server.handleWatch))
	server.mux.HandleFunc("POST "+LeaseGrantPath, server.withFaults(server.handleGrant))
	server.mux.HandleFunc("POST "+LeaseKeepAlivePath, server.withFaults(server.handleKeepAlive))
	server.mux.HandleFunc("POST "+LeaseRevokePath, server.withFaults(server.handleRevoke))
	server.mux.HandleFunc("PUT "+FaultsPath, server.handleFaults)
	server.mux.HandleFunc("POST "+CompactPath, server.handleCompact)
	server.mux.HandleFunc("POST "+RollbackPath, server.handleRollback)
	server.mux.HandleFunc("GET "+CountsPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, server.Counts()) })
	return server
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	limit := rate.Inf
	if faults.RequestsPerSecond > 0 {
		limit = rate.Limit(faults.RequestsPerSecond)
	}
	s.limiter.SetLimit(limit)
	s.limiter.SetBurst(max(1, int(faults.RequestsPerSecond)))
	s.notifyWatchers()
}

// Counts returns the numbers of requests so far.
func (s *Server) Counts() Counts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.counts
}

// withFaults applies the delay, the outage and the rate limit to a handler.
func (s *Server) withFaults(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		faults := s.faults
		limited := !s.limiter.Allow()
		if limited {
			s.counts.Limited++
		}
		s.mutex.Unlock()
		if faults.DelayMillis > 0 {
			timer := time.NewTimer(time.Duration(faults.DelayMillis) * time.Millisecond)
			defer timer.Stop()
			select {
			case <-timer.C:
			case <-r.Context().Done():
				return
			}
		}
		switch {
		case faults.Down:
			writeError(w, http.StatusServiceUnavailable, "store is unavailable")
		case limited:
			writeError(w, http.StatusTooManyRequests, "too many requests")
		default:
			handler(w, r)
		}
	}
}

type gatewayError struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

const grpcUnavailable = 14

func writeError(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(gatewayError{Error: message, Code: grpcUnavailable, Message: message})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func decode[Body any](w http.ResponseWriter, r *http.Request) (Body, bool) {
	var body Body
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return body, false
	}
	return body, true
}

// latest returns a key's current version, unless it is deleted or its lease has expired.
func (s *Server) latest(key string) (version, bool) {
	versions := s.history[key]
	if len(versions) == 0 {
		return version{}, false
	}
	last := versions[len(versions)-1]
	if granted, exists := s.leases[last.lease]; last.deleted || last.lease != 0 && (!exists || time.Now().After(granted.expires)) {
		return version{}, false
	}
	return last, true
}

func (s *Server) handleRange(w http.ResponseWriter, r *http.Request) {
	request, ok := decode[etcdgateway.RangeRequest](w, r)
	if !ok {
		return
	}
	s.mutex.Lock()
	s.counts.Ranges++
	response := s.rangeResponse(request)
	s.mutex.Unlock()
	writeJSON(w, response)
}

func (s *Server) rangeResponse(request etcdgateway.RangeRequest) etcdgateway.RangeResponse {
	response := etcdgateway.RangeResponse{Header: etcdgateway.ResponseHeader{Revision: s.revision}}
	for key := range s.history {
		inRange := key == string(request.Key)
		if len(request.RangeEnd) > 0 {
			inRange = bytes.Compare([]byte(key), request.Key) >= 0 && bytes.Compare([]byte(key), request.RangeEnd) < 0
		}
		current, exists := s.latest(key)
		if inRange && exists {
			response.KVs = append(response.KVs, etcdgateway.KeyValue{Key: []byte(key), Value: current.value, ModRevision: current.revision, Lease: current.lease})
		}
	}
	response.Count = int64(len(response.KVs))
	return response
}

func (s *Server) handleTxn(w http.ResponseWriter, r *http.Request) {
	request, ok := decode[etcdgateway.TxnRequest](w, r)
	if !ok {
		return
	}
	s.mutex.Lock()
	s.counts.Transactions++
	response := s.transact(request)
	lost := s.faults.LoseAnswers
	s.mutex.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, response)
}

func (s *Server) transact(request etcdgateway.TxnRequest) etcdgateway.TxnResponse {
	response := etcdgateway.TxnResponse{Succeeded: true}
	for _, compare := range request.Compare {
		current, _ := s.latest(string(compare.Key))
		if current.revision != compare.ModRevision {
			response.Succeeded = false
		}
	}
	operations := request.Success
	if !response.Succeeded {
		operations = request.Failure
	}
	wrote := false
	for _, operation := range operations {
		if operation.Put != nil {
			wrote = true
			s.put(*operation.Put)
		}
		if operation.Range != nil {
			found := s.rangeResponse(*operation.Range)
			response.Responses = append(response.Responses, etcdgateway.ResponseOperation{Range: &found})
		}
	}
	if wrote {
		s.revision++
		s.notifyWatchers()
	}
	response.Header.Revision = s.revision
	return response
}

// put writes a version at the next revision, which all puts of a transaction share.
func (s *Server) put(request etcdgateway.PutRequest) {
	key := string(request.Key)
	s.history[key] = append(s.history[key], version{value: request.Value, revision: s.revision + 1, lease: request.Lease})
}

func (s *Server) notifyWatchers() {
	for watcher := range s.watchers {
		select {
		case watcher <- struct{}{}:
		default:
		}
	}
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	if faults, ok := decode[Faults](w, r); ok {
		s.SetFaults(faults)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *Server) handleCompact(w http.ResponseWriter, _ *http.Request) {
	s.Compact()
	w.WriteHeader(http.StatusNoContent)
}

// Compact discards all but the latest version of each key; new watches that start at a discarded revision are cancelled.
func (s *Server) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.compacted = s.revision
	for key, versions := range s.history {
		s.history[key] = versions[len(versions)-1:]
	}
}

type rollbackBody struct {
	Revision int64 `json:"revision,string"`
}

func (s *Server) handleRollback(w http.ResponseWriter, r *http.Request) {
	if body, ok := decode[rollbackBody](w, r); ok {
		s.Rollback(body.Revision)
		w.WriteHeader(http.StatusNoContent)
	}
}

// Revision returns the store's current revision.
func (s *Server) Revision() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revision
}

// Rollback restores the state at an earlier revision, like the restore of an old backup.
func (s *Server) Rollback(revision int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for key, versions := range s.history {
		kept := versions[:0:0]
		for _, candidate := range versions {
			if candidate.revision <= revision {
				kept = append(kept, candidate)
			}
		}
		s.history[key] = kept
	}
	s.revision = revision
	s.notifyWatchers()
}
