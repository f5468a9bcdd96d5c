package turnstore

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/conversation"
)

// streamCase is a stream with or without a program and a budget.
type streamCase struct {
	id, program string
	budget      int64
}

func (s streamCase) params(writer conversation.Writer) OpenParams {
	return OpenParams{Turn: s.id, Program: s.program, Budget: s.budget, Most: 10, Stream: StreamParams{ID: s.id, Writer: writer}}
}

// begin records the origins of a stream that was expected at the first Writer and begins at the last one.
func (s streamCase) begin(ctx context.Context, t *testing.T, client *Client, writers ...conversation.Writer) {
	t.Helper()
	params := s.params(writers[0])
	_, err := client.Open(ctx, params)
	assert.NilError(t, err)
	origin := client.Origin(params)
	for _, writer := range writers {
		origin.Expect(ctx, writer)
	}
	assert.NilError(t, origin.Await(ctx))
}

// A stream's Writer is known to every gateway from its first event on, also after replicas have restarted and one has lost its
// disk, and while one replica is down.
func TestOriginOfAStreamIsKept(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 4*testTimeout)
	defer cancel()
	c := newCluster(t, 3)
	v1, v2 := conversation.WriterOf("s", "v1"), conversation.WriterOf("s", "v2")
	expected := make(map[streamCase]conversation.Writer)
	for number := range 4 {
		for _, stream := range []streamCase{
			{id: fmt.Sprint("plain", number), budget: -1},
			{id: fmt.Sprint("program", number), program: fmt.Sprint("p", number), budget: -1},
			{id: fmt.Sprint("budget", number), program: fmt.Sprint("p", number), budget: 1000},
		} {
			switch number {
			case 0:
				stream.begin(ctx, t, c.client, v1)
				expected[stream] = v1
			case 1:
				stream.begin(ctx, t, c.client, v1, v2)
				expected[stream] = v2
			case 2:
				stream.begin(ctx, t, c.client, v1, v2, v1)
				expected[stream] = v1
			case 3:
				expected[stream] = 0
			}
		}
	}
	check := func(when string) {
		t.Helper()
		reader := c.newClient()
		for stream, writer := range expected {
			params := stream.params(0)
			params.Turn = "again"
			eventually(t, when, func() bool {
				opened, err := reader.Open(ctx, params)
				if err != nil {
					return false
				}
				assert.Equal(t, opened.Writer, writer, "%s: %s", when, stream.id)
				return true
			})
		}
	}
	check("at once")
	c.kill(c.machines[0])
	check("while a replica is down")
	c.wipe(c.machines[0])
	c.start(c.machines[0])
	eventually(t, "the wiped replica has caught up", func() bool { return c.machines[0].complete() })
	c.kill(c.machines[1])
	check("with the wiped replica")
	for _, machine := range c.machines {
		if machine != c.machines[1] {
			c.kill(machine)
		}
		c.start(machine)
	}
	check("after all replicas have restarted")
}

// Records of origins take no tokens of a program's budget.
func TestOriginTakesNoTokens(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newCluster(t, 3)
	stream := streamCase{id: "a", program: "program", budget: 40}
	v1, v2 := conversation.WriterOf("s", "v1"), conversation.WriterOf("s", "v2")
	stream.begin(ctx, t, c.client, v1, v2, v1, v2)
	again := stream.params(0)
	for range 3 {
		opened, err := c.client.Open(ctx, again)
		assert.NilError(t, err)
		assert.Equal(t, opened.Writer, v2)
	}
	assert.Assert(t, c.reserve(c.client, "late", 40, 1) != nil, "40 tokens are reserved")
}

// A stream that begins while no replica can be reached is recorded once they are back, as long as it runs. An earlier expectation
// that is still to be recorded doesn't change the state of a later one.
func TestOriginIsRecordedAfterReplicasWereAway(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 4*testTimeout)
	defer cancel()
	c := newCluster(t, 3)
	for _, machine := range c.machines {
		c.kill(machine)
	}
	v1, v2 := conversation.WriterOf("s", "v1"), conversation.WriterOf("s", "v2")
	streams := map[streamCase][]conversation.Writer{
		{id: "stays", budget: -1}: {v1},
		{id: "moves", budget: -1}: {v1, v2},
	}
	for stream, writers := range streams {
		origin := c.client.Origin(stream.params(writers[0]))
		for _, writer := range writers {
			origin.Expect(ctx, writer)
		}
		assert.Assert(t, origin.Await(ctx) != nil, "nothing was recorded")
	}
	for _, machine := range c.machines {
		c.start(machine)
	}
	for stream, writers := range streams {
		params := stream.params(0)
		params.Turn = "again"
		eventually(t, stream.id+" is recorded", func() bool {
			opened, err := c.client.Open(ctx, params)
			return err == nil && opened.Writer == writers[len(writers)-1]
		})
	}
}
