package coordinator

import (
	"context"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/scheduler"
	"github.com/mountstile/mountstile/internal/transport"
)

// recordDecision keeps a call's latest decision for explain, and drops the oldest call over maxDecisions.
func (s *Server) recordDecision(decision scheduler.Decision) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, known := s.decisions[decision.Call]; !known {
		s.decisionOrder = append(s.decisionOrder, decision.Call)
	}
	s.decisions[decision.Call] = decision
	if len(s.decisionOrder) > maxDecisions {
		delete(s.decisions, s.decisionOrder[0])
		s.decisionOrder = s.decisionOrder[1:]
	}
}

func (s *Server) explain(_ context.Context, _ transport.Peer, request ExplainRequest) (ExplainResponse, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	decision, found := s.decisions[request.CallID]
	return ExplainResponse{Found: found, Decision: decision}, nil
}

func (s *Server) isLeader(group uint32) bool {
	status, known := s.options.Host.Status(group)
	return known && status.IsLeader
}

func (s *Server) readProgram(_ context.Context, _ transport.Peer, request ProgramRequest) (ProgramResponse, error) {
	if !s.isLeader(request.Partition) {
		status, _ := s.options.Host.Status(request.Partition)
		notLeader := apierr.New(apierr.NotLeader, apierr.NotRun, "this node does not lead partition %d", request.Partition)
		notLeader.Leader = status.Leader
		return ProgramResponse{}, notLeader
	}
	machine := s.machine(request.Partition)
	summary, known := machine.Summary(request.Program)
	if !known {
		return ProgramResponse{}, apierr.New(apierr.NotFound, apierr.NotRun, "there is no program %q", request.Program.Path)
	}
	response := ProgramResponse{Summary: summary}
	if request.WantHistory {
		response.History = machine.History(request.Program)
	}
	return response, nil
}

func (s *Server) listPrograms(_ context.Context, _ transport.Peer, request ListRequest) (ListResponse, error) {
	var response ListResponse
	for _, status := range s.options.Host.Statuses() {
		if status.IsLeader {
			response.Programs = append(response.Programs, s.machine(status.Group).Summaries(request.Tenant)...)
		}
	}
	return response, nil
}

// Programs returns the number of programs in the partitions that this node leads.
func (s *Server) Programs() int {
	count := 0
	for _, status := range s.options.Host.Statuses() {
		if status.IsLeader {
			count += s.machine(status.Group).Count()
		}
	}
	return count
}
