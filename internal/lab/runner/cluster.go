package runner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// cluster plays against nodes over HTTP, in real time.
type cluster struct {
	options Options

	mutex   sync.Mutex
	random  *rand.Rand
	clients map[string]*Client
}

func newCluster(options Options) *cluster {
	return &cluster{options: options, random: rand.New(rand.NewPCG(options.Seed, 0)), clients: make(map[string]*Client)}
}

func (c *cluster) close() {
	for _, client := range c.clients {
		client.Close()
	}
}

// reach draws the node through which a tenant's next request enters.
func (c *cluster) reach(tenant string) (*Client, string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	client := c.clients[tenant]
	if client == nil {
		client = NewClient(c.options.APIKeys[tenant])
		c.clients[tenant] = client
	}
	return client, c.options.Nodes[c.random.IntN(len(c.options.Nodes))]
}

// Now implements Environment.
func (*cluster) Now() time.Time { return time.Now() }

// Pause implements Environment.
func (*cluster) Pause(ctx context.Context, duration time.Duration) error {
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
func (*cluster) Parallel(tasks ...func()) {
	var group sync.WaitGroup
	for _, task := range tasks {
		group.Go(task)
	}
	group.Wait()
}

// Chat implements Environment.
func (c *cluster) Chat(ctx context.Context, tenant string, call Call) (Reply, error) {
	client, node := c.reach(tenant)
	return client.Chat(ctx, node, call)
}

// Tool implements Environment.
func (c *cluster) Tool(ctx context.Context, takes time.Duration) error {
	client, _ := c.reach("")
	return client.Tool(ctx, c.options.ToolsURL, takes)
}

// End implements Environment.
func (c *cluster) End(ctx context.Context, tenant, program string) error {
	client, node := c.reach(tenant)
	return client.End(ctx, node, program)
}
