package storeserver

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/mountstile/mountstile/internal/configstore/etcdgateway"
)

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	request, ok := decode[etcdgateway.WatchRequest](w, r)
	if !ok {
		return
	}
	changed := make(chan struct{}, 1)
	s.mutex.Lock()
	s.counts.Watches++
	s.watchers[changed] = struct{}{}
	next := request.Create.StartRevision
	if next == 0 {
		next = s.revision + 1
	}
	compacted := next <= s.compacted
	s.mutex.Unlock()
	defer func() {
		s.mutex.Lock()
		delete(s.watchers, changed)
		s.mutex.Unlock()
	}()
	encoder := json.NewEncoder(w)
	if compacted {
		_ = encoder.Encode(etcdgateway.WatchResponse{Result: etcdgateway.WatchResult{Canceled: true, CompactRevision: s.compacted}})
		return
	}
	_ = encoder.Encode(etcdgateway.WatchResponse{Result: etcdgateway.WatchResult{Created: true}})
	_ = http.NewResponseController(w).Flush()
	s.sendVersions(w, r, string(request.Create.Key), next, changed)
}

// sendVersions streams the versions of a key from revision next on, until the client disconnects or the store is down.
func (s *Server) sendVersions(w http.ResponseWriter, r *http.Request, key string, next int64, changed chan struct{}) {
	encoder := json.NewEncoder(w)
	for {
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
		s.mutex.Lock()
		down, drop := s.faults.Down, s.faults.DropEvents
		var result etcdgateway.WatchResult
		for _, version := range s.history[key] {
			if version.revision >= next {
				result.Events = append(result.Events, etcdgateway.WatchEvent{KV: etcdgateway.KeyValue{Key: []byte(key), Value: version.value, ModRevision: version.revision}})
			}
		}
		next = s.revision + 1
		s.mutex.Unlock()
		if down {
			return
		}
		if drop || len(result.Events) == 0 {
			continue
		}
		if encoder.Encode(etcdgateway.WatchResponse{Result: result}) != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

type leaseBody struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	request, ok := decode[leaseBody](w, r)
	if !ok {
		return
	}
	s.mutex.Lock()
	if request.ID == 0 {
		request.ID = int64(len(s.leases) + 1)
	}
	ttl := time.Duration(request.TTL) * time.Second
	s.leases[request.ID] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mutex.Unlock()
	writeJSON(w, request)
}

type keepAliveResponse struct {
	Result leaseBody `json:"result"`
}

func (s *Server) handleKeepAlive(w http.ResponseWriter, r *http.Request) {
	request, ok := decode[leaseBody](w, r)
	if !ok {
		return
	}
	s.mutex.Lock()
	granted, exists := s.leases[request.ID]
	if exists && time.Now().Before(granted.expires) {
		granted.expires = time.Now().Add(granted.ttl)
		s.leases[request.ID] = granted
		request.TTL = int64(granted.ttl / time.Second)
	} else {
		request.TTL = 0
	}
	s.mutex.Unlock()
	writeJSON(w, keepAliveResponse{Result: request})
}

func (s *Server) handleRevoke(w http.ResponseWriter, r *http.Request) {
	request, ok := decode[leaseBody](w, r)
	if !ok {
		return
	}
	s.mutex.Lock()
	delete(s.leases, request.ID)
	s.mutex.Unlock()
	writeJSON(w, leaseBody{})
}
