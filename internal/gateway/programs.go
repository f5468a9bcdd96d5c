package gateway

import (
	"net/http"
	"strings"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/coordinator"
	"github.com/mountstile/mountstile/internal/program"
)

// locateProgram returns the partition and key of the caller's program at the request's path. The program need not exist.
func (g *Gateway) locateProgram(r *http.Request) (uint32, program.Key, error) {
	caller, err := g.authenticate(r)
	if err != nil {
		return 0, program.Key{}, err
	}
	path := r.PathValue("path")
	if !programPattern.MatchString(path) {
		return 0, program.Key{}, apierr.New(apierr.NotFound, apierr.NotRun, "there is no program %q", path)
	}
	root, _, _ := strings.Cut(path, "/")
	id, err := g.options.Coordinator.Locate(caller.tenant.HomeRegion, caller.name, root)
	return id, program.Key{Tenant: caller.name, Path: path}, err
}

// handleProgram returns a program, with its messages if the query has history=true.
func (g *Gateway) handleProgram(w http.ResponseWriter, r *http.Request) {
	id, key, err := g.locateProgram(r)
	if err != nil {
		g.fail(w, err)
		return
	}
	wantHistory := r.URL.Query().Get("history") == "true"
	response, err := g.options.Coordinator.Program(r.Context(), coordinator.ProgramRequest{Partition: id, Program: key, WantHistory: wantHistory})
	if err != nil {
		g.fail(w, err)
		return
	}
	writeJSON(w, response)
}

// handleEndProgram ends a program and its sub-agents, whose engine caches are then released.
func (g *Gateway) handleEndProgram(w http.ResponseWriter, r *http.Request) {
	id, key, err := g.locateProgram(r)
	if err == nil {
		err = g.options.Coordinator.End(r.Context(), coordinator.EndRequest{Partition: id, End: program.End{Program: key, Reason: program.EndByCaller}})
	}
	if err != nil {
		g.fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
