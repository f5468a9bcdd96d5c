package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store as it is sent to its clients.
type item struct {
	Key      string `json:"private_key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

// change is an event of a watch.
type change struct {
	Key      string `json:"private_key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

// store is the platform's metadata store. While it is down, it resets connections, and engines can't write either.
type store struct {
	listener net.Listener
	server   *http.Server

	mutex    sync.Mutex
	revision int64
	items    map[string]item
	changes  []change
	changed  chan struct{}
	down     bool
}

// pageItems is the most items of one page of a listing.
const pageItems = 500

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	created := &store{listener: listener, items: make(map[string]item), changed: make(chan struct{})}
	created.server = &http.Server{Handler: created}
	go func() { _ = created.server.Serve(listener) }()
	return created, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// setDown begins or ends an outage.
func (s *store) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
	s.wake()
}

// wake ends the wait of all watches. The caller holds the mutex.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an item for the operator, an engine or another writer. It fails while the store is down.
func (s *store) put(key string, value any) bool {
	encoded, ok := value.([]byte)
	if !ok {
		encoded, _ = json.Marshal(value)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return false
	}
	s.write(key, encoded, 0)
	s.wake()
	return true
}

// remove deletes an item for the operator or an engine. It fails while the store is down.
func (s *store) remove(key string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return false
	}
	s.delete(key)
	s.wake()
	return true
}

func (s *store) write(key string, value []byte, lease int64) {
	s.revision++
	created := s.revision
	if old, found := s.items[key]; found {
		created = old.Created
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.changes = append(s.changes, change{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease})
}

func (s *store) delete(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	s.revision++
	delete(s.items, key)
	s.changes = append(s.changes, change{Key: key, Revision: s.revision, Gone: true})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if s.isDown() {
		panic(http.ErrAbortHandler)
	}
	switch {
	case request.Method == http.MethodGet && request.URL.Path == "/kv-key":
		s.serveKey(writer, request)
	case request.Method == http.MethodGet && request.URL.Path == "/kv-range":
		s.serveRange(writer, request)
	case request.Method == http.MethodGet && request.URL.Path == "/kv-watch":
		s.serveWatch(writer, request)
	case request.Method == http.MethodPost && request.URL.Path == "/kv-txn":
		s.serveTransaction(writer, request)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) isDown() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.down
}

func answer(writer http.ResponseWriter, status int, body any) {
	encoded, _ := json.Marshal(body)
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(encoded)
}

func (s *store) serveKey(writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	found, ok := s.items[request.URL.Query().Get("private_key")]
	at := s.revision
	s.mutex.Unlock()
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	answer(writer, http.StatusOK, struct {
		item
		At int64 `json:"at"`
	}{found, at})
}

func (s *store) serveRange(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	s.mutex.Lock()
	items := []item{}
	for key, stored := range s.items {
		if strings.HasPrefix(key, query.Get("path_prefix")) && key > query.Get("after") {
			items = append(items, stored)
		}
	}
	at := s.revision
	s.mutex.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	answer(writer, http.StatusOK, map[string]any{"items": items, "more": more, "at": at})
}

func (s *store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	ended := false
	for {
		s.mutex.Lock()
		events := []change{}
		for _, candidate := range s.changes {
			if candidate.Revision > after && strings.HasPrefix(candidate.Key, query.Get("path_prefix")) {
				events = append(events, candidate)
			}
		}
		at, changed, down := s.revision, s.changed, s.down
		s.mutex.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 || ended {
			answer(writer, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-request.Context().Done():
			return
		}
	}
}

func (s *store) serveTransaction(writer http.ResponseWriter, request *http.Request) {
	var transaction struct {
		Expected []struct {
			Key      string `json:"private_key"`
			Revision int64  `json:"revision"`
		} `json:"expected_revision"`
		Put []struct {
			Key   string `json:"private_key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"put"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(request.Body).Decode(&transaction) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, write := range transaction.Put {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			writer.WriteHeader(http.StatusForbidden)
			return
		}
	}
	actual, holds := []item{}, true
	for _, expected := range transaction.Expected {
		stored, found := s.items[expected.Key]
		holds = holds && stored.Revision == expected.Revision
		if found {
			actual = append(actual, stored)
		}
	}
	if !holds {
		answer(writer, http.StatusPreconditionFailed, map[string]any{"items": actual})
		return
	}
	for _, write := range transaction.Put {
		s.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range transaction.Remove {
		s.delete(key)
	}
	s.wake()
	answer(writer, http.StatusOK, map[string]any{"revision": s.revision})
}
