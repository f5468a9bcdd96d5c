package transport

import (
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// A task that finds a connection just dialled by another one must not send its message ahead of the hello.
func TestHelloPrecedesMessagesOfOtherTasks(t *testing.T) {
	const rounds, callers = 300, 8
	_, address := serve(t, Options{Cluster: "c", NodeID: "a"})
	for round := range rounds {
		client, _ := serve(t, Options{Cluster: "c", NodeID: fmt.Sprint("b", round)})
		failures := make(chan error, callers+1)
		var tasks sync.WaitGroup
		call := func() {
			_, err := Call[echo](t.Context(), client, Peer{Address: address}, "echo", echo{"hello"})
			failures <- err
		}
		for range callers {
			tasks.Go(func() {
				for client.connectionTo(address) == nil {
				}
				call()
			})
		}
		tasks.Go(call)
		tasks.Wait()
		close(failures)
		for err := range failures {
			assert.NilError(t, err, "round %d", round)
		}
		client.Close()
	}
}
