package runner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// httpEnvironment sends calls to nodes over HTTP, in real time.
type httpEnvironment struct {
	options Options

	mutex   sync.Mutex
	random  *rand.Rand
	clients map[string]*Client
}

func newHTTPEnvironment(options Options) *httpEnvironment {
	return &httpEnvironment{options: options, random: rand.New(rand.NewPCG(options.Seed, 0)), clients: make(map[string]*Client)}
}

func (e *httpEnvironment) close() {
	for _, client := range e.clients {
		client.Close()
	}
}

// pickNode returns the tenant's client and the URL of a random node.
func (e *httpEnvironment) pickNode(tenant string) (*Client, string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	client := e.clients[tenant]
	if client == nil {
		client = NewClient(e.options.APIKeys[tenant])
		e.clients[tenant] = client
	}
	return client, e.options.Nodes[e.random.IntN(len(e.options.Nodes))]
}

// Now implements Environment.
func (*httpEnvironment) Now() time.Time { return time.Now() }

// Pause implements Environment.
func (*httpEnvironment) Pause(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Parallel implements Environment.
func (*httpEnvironment) Parallel(tasks ...func()) {
	var group sync.WaitGroup
	for _, task := range tasks {
		group.Go(task)
	}
	group.Wait()
}

// Chat implements Environment.
func (e *httpEnvironment) Chat(ctx context.Context, tenant string, call Call) (Reply, error) {
	client, nodeURL := e.pickNode(tenant)
	return client.Chat(ctx, nodeURL, call)
}

// Tool implements Environment.
func (e *httpEnvironment) Tool(ctx context.Context, delay time.Duration) error {
	client, _ := e.pickNode("")
	return client.Tool(ctx, e.options.ToolsURL, delay)
}

// End implements Environment.
func (e *httpEnvironment) End(ctx context.Context, tenant, program string) error {
	client, nodeURL := e.pickNode(tenant)
	return client.End(ctx, nodeURL, program)
}
