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

const (
	// storeDelay is the time of an answer of the platform's store.
	storeDelay = 4 * time.Millisecond
	// storePage is the number of items in one answer.
	storePage = 500
	// maxTransaction is the number of entries of one transaction.
	maxTransaction = 32
	maxWatch       = 30 * time.Second
)

// storeItem is an item as it is written, or an event of a watch.
type storeItem struct {
	Key      string `json:"private_key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

// store stands in for the platform's metadata store. It keeps its whole history and grants no leases, which the system does not use.
type store struct {
	address string
	record  *record
	server  *http.Server

	mutex    sync.Mutex
	items    map[string]storeItem
	history  []storeItem
	revision int64
	changed  chan struct{}
}

func startStore(host string, recorded *record) (*store, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	created := &store{address: listener.Addr().String(), record: recorded, items: make(map[string]storeItem), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", created.serveKey)
	mux.HandleFunc("GET /kv-range", created.serveRange)
	mux.HandleFunc("GET /kv-watch", created.serveWatch)
	mux.HandleFunc("POST /kv-txn", created.serveTransaction)
	created.server = &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		time.Sleep(storeDelay)
		mux.ServeHTTP(writer, request)
	})}
	go func() { _ = created.server.Serve(listener) }()
	return created, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes an item on behalf of the operator or an engine.
func (s *store) put(key string, value any) int64 {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.apply([]storeItem{{Key: key, Value: encoded}})
	return s.revision
}

func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, found := s.items[key]; found {
		s.apply([]storeItem{{Key: key, Gone: true}})
	}
}

// get returns the value of an item; nil if there is none.
func (s *store) get(key string) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.items[key].Value
}

// apply makes changes under one revision. The caller holds the mutex.
func (s *store) apply(changes []storeItem) {
	s.revision++
	for _, change := range changes {
		change.Revision = s.revision
		if change.Gone {
			delete(s.items, change.Key)
		} else {
			change.Created = s.revision
			if known, found := s.items[change.Key]; found {
				change.Created = known.Created
			}
			s.items[change.Key] = change
		}
		s.history = append(s.history, change)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func (s *store) serveKey(writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	item, found := s.items[request.URL.Query().Get("private_key")]
	revision := s.revision
	s.mutex.Unlock()
	if !found {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	answer(writer, http.StatusOK, struct {
		storeItem
		At int64 `json:"at"`
	}{item, revision})
}

func (s *store) serveRange(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	s.mutex.Lock()
	items := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, query.Get("path_prefix")) && key > query.Get("after") {
			items = append(items, item)
		}
	}
	revision := s.revision
	s.mutex.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > storePage
	if more {
		items = items[:storePage]
	}
	answer(writer, http.StatusOK, map[string]any{"items": items, "more": more, "at": revision})
}

func (s *store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, afterErr := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, waitErr := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if afterErr != nil || waitErr != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatch))
	defer deadline.Stop()
	for waiting := true; ; {
		events, at, changed := s.eventsAfter(query.Get("path_prefix"), after)
		if len(events) > 0 || !waiting {
			answer(writer, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-request.Context().Done():
			return
		}
	}
}

func (s *store) eventsAfter(prefix string, after int64) (events []storeItem, at int64, changed chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	events = []storeItem{}
	first := sort.Search(len(s.history), func(index int) bool { return s.history[index].Revision > after })
	for _, event := range s.history[first:] {
		if strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events, s.revision, s.changed
}

func (s *store) serveTransaction(writer http.ResponseWriter, request *http.Request) {
	var transaction struct {
		Expected []storeItem `json:"expected_revision"`
		Put      []storeItem `json:"put"`
		Remove   []string    `json:"remove"`
	}
	if json.NewDecoder(request.Body).Decode(&transaction) != nil || len(transaction.Expected)+len(transaction.Put)+len(transaction.Remove) > maxTransaction {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	var changes []storeItem
	for _, item := range transaction.Put {
		changes = append(changes, storeItem{Key: item.Key, Value: item.Value})
	}
	for _, key := range transaction.Remove {
		changes = append(changes, storeItem{Key: key, Gone: true})
	}
	for _, change := range changes {
		if strings.HasPrefix(change.Key, "op/") || strings.HasPrefix(change.Key, "servers/") {
			writer.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mutex.Lock()
	current := []storeItem{}
	holds := true
	for _, expected := range transaction.Expected {
		item, found := s.items[expected.Key]
		if found {
			current = append(current, item)
		}
		holds = holds && item.Revision == expected.Revision
	}
	if holds {
		s.apply(changes)
	}
	revision := s.revision
	s.mutex.Unlock()
	for _, change := range changes {
		s.record.write("store: write of %s by the system, done: %t, revision %d", change.Key, holds, revision)
	}
	if !holds {
		answer(writer, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	answer(writer, http.StatusOK, map[string]any{"revision": revision})
}
