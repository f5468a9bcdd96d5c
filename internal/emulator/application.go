package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/mountstile/mountstile/internal/engine"
)

// ApplicationEntry records one request that an Application received.
type ApplicationEntry struct {
	Method  string `json:"method"`
	Path    string `json:"path"`
	Program string `json:"program"`
	Call    string `json:"call"`
	Attempt string `json:"attempt"`
	Body    string `json:"body"`
}

// ApplicationFaults selects the faults that an Application injects.
type ApplicationFaults struct {
	// CutBeforeAnswer records each request and then aborts the connection without a response.
	CutBeforeAnswer bool `json:"cut_before_answer,omitempty"`
}

// Application emulates a non-model backend with side effects: it records each request and responds
// with the request's number.
type Application struct {
	mutex   sync.Mutex
	entries []ApplicationEntry
	faults  ApplicationFaults
}

// ApplicationReply is the response to each request.
type ApplicationReply struct {
	Number int    `json:"number"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// SetFaults replaces the injected faults.
func (a *Application) SetFaults(faults ApplicationFaults) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.faults = faults
}

// Ledger returns the recorded requests in order of arrival.
func (a *Application) Ledger() []ApplicationEntry {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return append([]ApplicationEntry(nil), a.entries...)
}

// ServeHTTP implements http.Handler.
func (a *Application) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case LedgerPath:
		writeJSON(w, a.Ledger())
		return
	case FaultsPath:
		var faults ApplicationFaults
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		a.SetFaults(faults)
		w.WriteHeader(http.StatusNoContent)
		return
	}
	a.handleRequest(w, r)
}

func (a *Application) handleRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.mutex.Lock()
	a.entries = append(a.entries, ApplicationEntry{
		Method:  r.Method,
		Path:    r.URL.Path,
		Program: r.Header.Get(engine.HeaderProgram),
		Call:    r.Header.Get(engine.HeaderCall),
		Attempt: r.Header.Get(engine.HeaderAttempt),
		Body:    string(body),
	})
	number, abort := len(a.entries), a.faults.CutBeforeAnswer
	a.mutex.Unlock()
	if abort {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, ApplicationReply{Number: number, Path: r.URL.Path, Body: string(body)})
}
