// Package machineserver emulates the platform's list of live and leaving machines. Changes become visible
// after a delay.
package machineserver

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// MachinesPath lists the machines with GET and changes one with PUT.
	MachinesPath = "/machines"
	maxBodyBytes = 1 << 20
)

// State is the platform's state of a machine.
type State string

// States of a machine. Machines that are Gone are not listed.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// Machine is one entry of the list.
type Machine struct {
	Address string `json:"address"`
	State   State  `json:"state"`
}

type change struct {
	machine   Machine
	visibleAt time.Time
}

// Server serves the list as an http.Handler.
type Server struct {
	mux   *http.ServeMux
	delay time.Duration

	mutex   sync.Mutex
	changes []change
}

// New returns a Server with an empty list, whose changes become visible after the delay.
func New(delay time.Duration) *Server {
	server := &Server{mux: http.NewServeMux(), delay: delay}
	server.mux.HandleFunc("GET "+MachinesPath, server.handleList)
	server.mux.HandleFunc("PUT "+MachinesPath, server.handlePut)
	return server
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Set changes the state of one machine. The change becomes visible after the server's delay.
func (s *Server) Set(machine Machine) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.changes = append(s.changes, change{machine: machine, visibleAt: time.Now().Add(s.delay)})
}

// Visible returns the current list, sorted by address.
func (s *Server) Visible() []Machine {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	states := make(map[string]State)
	for _, change := range s.changes {
		if !change.visibleAt.After(now) {
			states[change.machine.Address] = change.machine.State
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

func (s *Server) handleList(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Visible())
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	var machine Machine
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&machine); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(machine)
	w.WriteHeader(http.StatusNoContent)
}
