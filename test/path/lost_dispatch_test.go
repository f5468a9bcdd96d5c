package path_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/coordinator"
	"github.com/mountstile/mountstile/internal/program"
)

// TestLostDispatch begins a call and drops the reply, so that the coordinator counts it as dispatched to a gateway that does not
// execute it. A repeat must not wait for a result that never comes: a repeatable call gets another attempt, any other
// call fails with an unknown outcome.
func TestLostDispatch(t *testing.T) {
	for name, repeatable := range map[string]bool{"repeatable": true, "not repeatable": false} {
		t.Run(name, func(t *testing.T) {
			system := startCluster(t, 2)
			node := system.Nodes[0]
			plane := node.Plane()
			client := coordinator.NewClient(plane.Transport, plane.Membership, plane.Partitions)
			partition, err := client.Locate("r", "school", "pupil")
			assert.NilError(t, err)
			request := coordinator.BeginRequest{
				Partition: partition, Execution: "lost", MaxTokens: 10,
				Admit: program.Admit{
					CallID: "call-1", Program: program.Key{Tenant: "school", Path: "pupil"}, Service: "tutor", Model: "tutor", Gateway: node.Status().ID,
					Repeatable: repeatable, Reserve: 10, Limits: program.Limits{TokenBudget: 1000, CallBudget: 10},
				},
			}
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			first, err := client.Begin(ctx, request)
			assert.NilError(t, err)
			assert.Equal(t, first.Attempt, 1)
			request.Execution, request.WaitForEnd = "repeat", true
			second, err := client.Begin(ctx, request)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				load := engineLoad(system, first.Engine.Name)
				if second.Engine != nil && second.Engine.Name == first.Engine.Name {
					load.Running--
				}
				if load.Running > 0 {
					return poll.Continue("the lost attempt still occupies a slot")
				}
				return poll.Success()
			}, poll.WithTimeout(waitTimeout))
			if repeatable {
				assert.NilError(t, err)
				assert.Equal(t, second.Attempt, 2)
				return
			}
			failure := apierr.From(err, apierr.Ran)
			assert.Equal(t, failure.Code, apierr.ExecutionUnknown)
			assert.Equal(t, failure.Outcome, apierr.OutcomeUnknown)
		})
	}
}
