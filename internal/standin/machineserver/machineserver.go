// Package machineserver is a stand-in for the platform's list of live and leaving machines. What it
// shows lags behind what is set.
package machineserver

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// MachinesPath shows the list with GET and changes one machine with PUT.
const (
	MachinesPath = "/machines"
	maxBody      = 1 << 20
)

// State is what the platform plans for a machine.
type State string

// The states of a machine.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// Machine is one entry.
type Machine struct {
	Address string `json:"address"`
	State   State  `json:"state"`
}

type change struct {
	machine Machine
	visible time.Time
}

// Server is the stand-in as an http.Handler.
type Server struct {
	mux *http.ServeMux
	lag time.Duration

	mutex   sync.Mutex
	changes []change
}

// New returns a Server whose list lags by the given time.
func New(lag time.Duration) *Server {
	server := &Server{mux: http.NewServeMux(), lag: lag}
	server.mux.HandleFunc("GET "+MachinesPath, server.list)
	server.mux.HandleFunc("PUT "+MachinesPath, server.put)
	return server
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Set changes one machine; the list shows it after the lag.
func (s *Server) Set(machine Machine) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.changes = append(s.changes, change{machine: machine, visible: time.Now().Add(s.lag)})
}

// Visible returns what the list shows now.
func (s *Server) Visible() []Machine {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	states := make(map[string]State)
	for _, item := range s.changes {
		if !item.visible.After(now) {
			states[item.machine.Address] = item.machine.State
		}
	}
	machines := []Machine{}
	for address, state := range states {
		if state != Gone {
			machines = append(machines, Machine{Address: address, State: state})
		}
	}
	slices.SortFunc(machines, func(a, b Machine) int { return strings.Compare(a.Address, b.Address) })
	return machines
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Visible())
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var machine Machine
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&machine); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(machine)
	w.WriteHeader(http.StatusNoContent)
}
