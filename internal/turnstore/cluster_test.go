package turnstore

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/configstore"
	"github.com/mountstile/mountstile/internal/conversation"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/membudget"
	"github.com/mountstile/mountstile/internal/standin/loopback"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	testSetKey        = "set"
	testCandidatesKey = "candidates"
	testTimeout       = 15 * time.Second
)

// memoryStore is an in-memory configstore.Store that notifies listeners of new replica sets at once.
type memoryStore struct {
	mutex    sync.Mutex
	entries  map[string]configstore.Entry
	revision int64
	down     bool
	onSet    []func(ReplicaSet)
	// onCandidate is called for each replica that registers for bootstrap.
	onCandidate []func(Member)
	// swaps counts attempted writes, refused the calls while the store was down.
	swaps, refused int
}

type storeDown struct{}

// Error implements error.
func (storeDown) Error() string { return "the configuration store is down" }

func newMemoryStore() *memoryStore { return &memoryStore{entries: make(map[string]configstore.Entry)} }

func (s *memoryStore) Get(_ context.Context, key string) (configstore.Entry, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		s.refused++
		return configstore.Entry{}, &configstore.ErrUnavailable{Operation: "get", Cause: storeDown{}}
	}
	return s.entries[key], nil
}

func (s *memoryStore) CompareAndSwap(_ context.Context, key string, revision int64, writes []configstore.Write) error {
	s.mutex.Lock()
	if s.down {
		s.refused++
		s.mutex.Unlock()
		return &configstore.ErrUnavailable{Operation: "write", Cause: storeDown{}}
	}
	s.swaps++
	if s.entries[key].Revision != revision {
		actual := s.entries[key]
		s.mutex.Unlock()
		return &configstore.ErrConflict{Key: key, Actual: actual}
	}
	s.revision++
	for _, write := range writes {
		s.entries[write.Key] = configstore.Entry{Value: write.Value, Revision: s.revision}
	}
	s.mutex.Unlock()
	s.notifyListeners()
	return nil
}

func (s *memoryStore) Watch(context.Context, string, func(configstore.Event)) error {
	return storeDown{}
}

func (s *memoryStore) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

func (s *memoryStore) refusals() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.refused
}

func (s *memoryStore) set() ReplicaSet { return s.setOf(0) }

func (s *memoryStore) setOf(shard int) ReplicaSet {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var set ReplicaSet
	_ = json.Unmarshal(s.entries[setKey(testSetKey, shard)].Value, &set)
	return set
}

// sets returns the sets of all shards.
func (s *memoryStore) sets() []ReplicaSet {
	all := []ReplicaSet{s.setOf(0)}
	for shard := 1; shard < all[0].Shards; shard++ {
		all = append(all, s.setOf(shard))
	}
	return all
}

// notifyListeners stands in for the catalog, which distributes each set to all nodes.
func (s *memoryStore) notifyListeners() {
	all := s.sets()
	s.mutex.Lock()
	listeners := slices.Clone(s.onSet)
	s.mutex.Unlock()
	for _, listener := range listeners {
		for _, set := range all {
			listener(set)
		}
	}
	candidates := s.candidates()
	s.mutex.Lock()
	candidateListeners := slices.Clone(s.onCandidate)
	s.mutex.Unlock()
	for _, candidateListener := range candidateListeners {
		for _, candidate := range candidates {
			candidateListener(candidate)
		}
	}
}

// candidates returns the replicas registered for bootstrap.
func (s *memoryStore) candidates() []Member {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []Member
	for key, entry := range s.entries {
		var candidate Member
		if strings.HasPrefix(key, testCandidatesKey+"/") && json.Unmarshal(entry.Value, &candidate) == nil {
			found = append(found, candidate)
		}
	}
	return found
}

func (s *memoryStore) listenForCandidates(listener func(Member)) {
	s.mutex.Lock()
	s.onCandidate = append(s.onCandidate, listener)
	s.mutex.Unlock()
	for _, candidate := range s.candidates() {
		listener(candidate)
	}
}

func (s *memoryStore) listen(listener func(ReplicaSet)) {
	s.mutex.Lock()
	s.onSet = append(s.onSet, listener)
	s.mutex.Unlock()
	for _, set := range s.sets() {
		listener(set)
	}
}

// process is one run of a replica.
type process struct {
	replica *Replica
	network *transport.Transport
	stop    context.CancelFunc
	done    chan struct{}
}

// testTextBytes is so small that most texts are read from disk.
const testTextBytes = 8

// testZones is the number of zones, to which machines are assigned in rotation.
const testZones = 3

// machine is the machine of a replica: its address and disk outlive its processes. Nobody else listens at the address while
// the machine is down.
type machine struct {
	name     string
	address  string
	zone     string
	folder   string
	retiring atomic.Bool
	retired  atomic.Bool
	// earlierBuild is set if the replica does not serve syncKind.
	earlierBuild atomic.Bool
	process      *process
}

// links tracks the connections between nodes. Cutting off a node closes its connections and prevents new ones.
type links struct {
	mutex sync.Mutex
	cut   map[string]bool
	open  map[net.Conn][2]string
}

type cutOff struct{}

// Error implements error.
func (cutOff) Error() string { return "the node is cut off" }

func (l *links) dialFrom(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		l.mutex.Lock()
		refused := l.cut[from] || l.cut[to]
		l.mutex.Unlock()
		if refused {
			return nil, cutOff{}
		}
		connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", to)
		if err == nil {
			l.mutex.Lock()
			l.open[connection] = [2]string{from, to}
			l.mutex.Unlock()
		}
		return connection, err
	}
}

// set cuts off an address or reconnects it.
func (l *links) set(address string, cut bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cut[address] = cut
	for connection, ends := range l.open {
		if cut && (ends[0] == address || ends[1] == address) {
			_ = connection.Close()
			delete(l.open, connection)
		}
	}
}

// cluster is a set of replicas and a client on loopback.
type cluster struct {
	t        *testing.T
	links    links
	store    *memoryStore
	machines []*machine
	// machinesMutex guards changes of machines against concurrent reads by the replicas.
	machinesMutex sync.Mutex
	client        *Client
	started       bool
	size          int
	// fetchDelay is how long replicas take to answer a fetch; served counts the records that they return.
	fetchDelay atomic.Int64
	served     atomic.Int64
	// memoryBytes is the memory budget of replicas started from now on; 0 means no limit.
	memoryBytes int64
}

// isRetiring reports whether the named machine is being retired.
func (c *cluster) isRetiring(name string) bool {
	c.machinesMutex.Lock()
	defer c.machinesMutex.Unlock()
	for _, m := range c.machines {
		if m.name == name {
			return m.retiring.Load()
		}
	}
	return false
}

func newCluster(t *testing.T, size int) *cluster {
	t.Helper()
	return newClusterWithSpares(t, size, 0)
}

// newClusterWithSpares starts size members and some spares in three zones.
func newClusterWithSpares(t *testing.T, size, spares int) *cluster {
	t.Helper()
	c := &cluster{t: t, store: newMemoryStore(), size: size}
	c.links = links{cut: make(map[string]bool), open: make(map[net.Conn][2]string)}
	for index := range size + spares {
		c.add(fmt.Sprintf("replica-%d", index))
	}
	c.client = c.newClient()
	eventually(t, "the replica set has its members", func() bool { return len(c.store.set().Members) == size })
	eventually(t, "the client is ready", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return c.client.Ready(ctx)
	})
	c.started = true
	return c
}

func (c *cluster) newClient() *Client { return c.newClientWith("client", nil) }

// newClientWith returns a client of the named gateway that exchanges load.
func (c *cluster) newClientWith(name string, exchange LoadExchange) *Client {
	network := transport.New(transport.Options{Cluster: "test", NodeID: name, Logger: events.Discard(), Dial: c.links.dialFrom("client")})
	c.t.Cleanup(network.Close)
	client := NewClient(ClientOptions{CacheBytes: 1 << 20, Load: exchange}, network, events.Discard())
	c.store.listen(client.ApplySet)
	return client
}

// add starts a new machine with an empty disk.
func (c *cluster) add(name string) *machine {
	address, err := loopback.FreeAddress()
	assert.NilError(c.t, err)
	added := &machine{name: name, address: address, folder: memoryFolder(c.t), zone: fmt.Sprint("zone-", len(c.machines)%testZones)}
	c.machinesMutex.Lock()
	c.machines = append(c.machines, added)
	c.machinesMutex.Unlock()
	c.start(added)
	return added
}

func (c *cluster) newBudget() *membudget.Budget {
	if c.memoryBytes == 0 {
		return nil
	}
	return membudget.New(c.memoryBytes, nil)
}

func (c *cluster) start(m *machine) {
	c.t.Helper()
	network := transport.New(transport.Options{
		Cluster: "test", NodeID: m.name, Address: m.address, Logger: events.Discard(), Dial: c.links.dialFrom(m.address),
		Memory: c.newBudget(),
	})
	replica, err := NewReplica(ReplicaOptions{
		Self: Member{Name: m.name, Address: m.address, Zone: m.zone}, Folder: m.folder, FirstStart: !c.started, Copies: max(2, (c.size+1)/2), Size: c.size,
		TextBytes: testTextBytes,
		Store:     c.store, SetKey: testSetKey, CandidatesKey: testCandidatesKey, IsRetiring: c.isRetiring,
		ReportRetirement: func(_ context.Context, done bool) error {
			m.retired.Store(done)
			return nil
		},
	}, network, events.Discard())
	assert.NilError(c.t, err)
	transport.Handle(network, fetchKind, func(ctx context.Context, from transport.Peer, request fetchRequest) (fetchResponse, error) {
		clock.Sleep(ctx, time.Duration(c.fetchDelay.Load()))
		response, err := replica.serveFetch(ctx, from, request)
		c.served.Add(int64(len(response.Records)))
		return response, err
	})
	transport.Handle(network, syncKind, func(ctx context.Context, from transport.Peer, request syncRequest) (syncResponse, error) {
		if m.earlierBuild.Load() {
			return syncResponse{}, apierr.New(apierr.NotFound, apierr.NotRun, "this node does not serve %q", syncKind)
		}
		return replica.serveSync(ctx, from, request)
	})
	c.store.listen(replica.ApplySet)
	c.store.listenForCandidates(replica.ApplyCandidate)
	var listener net.Listener
	eventually(c.t, "the address is free", func() bool {
		listener, err = net.Listen("tcp", m.address)
		return err == nil
	})
	ctx, stop := context.WithCancel(context.Background())
	run := &process{replica: replica, network: network, stop: stop, done: make(chan struct{})}
	m.process = run
	go func() { _ = network.Serve(listener) }()
	go func() {
		defer close(run.done)
		replica.Run(ctx)
	}()
	c.t.Cleanup(func() { c.kill(m) })
}

func (c *cluster) kill(m *machine) {
	if m.process == nil {
		return
	}
	m.process.stop()
	m.process.network.Close()
	<-m.process.done
	m.process = nil
}

// wipe kills a machine and empties its disk.
func (c *cluster) wipe(m *machine) {
	c.kill(m)
	names, err := filepath.Glob(filepath.Join(m.folder, "*"))
	assert.NilError(c.t, err)
	for _, name := range names {
		assert.NilError(c.t, os.Remove(name))
	}
}

func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(testTimeout), poll.WithDelay(20*time.Millisecond))
}

func (c *cluster) put(id, previous string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.NilError(c.t, c.client.Put(ctx, "", []conversation.Record{{Turn: &conversation.Turn{
		ID: id, Previous: previous, Engine: "engine of " + id, Text: []byte(id + ";"), RetentionMillis: 60_000,
	}}}))
}

// read opens a turn after previous through a new client with an empty cache.
func (c *cluster) read(previous string) (*OpenedTurn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return c.newClient().Open(ctx, OpenParams{Turn: "next", Previous: previous, Budget: -1})
}

func (c *cluster) reserve(client *Client, turn string, budget, most int64) error {
	_, err := c.open(client, turn, budget, most)
	return err
}

func (c *cluster) open(client *Client, turn string, budget, most int64) (*OpenedTurn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return client.Open(ctx, OpenParams{Turn: turn, Program: "program", Budget: budget, Most: most})
}

func (m *machine) complete() bool { return m.process.replica.folder.record().Complete }

func (m *machine) turns() int {
	return m.process.replica.size().turns
}

// idle reports that no charge is being settled.
func (c *Client) idle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.settling == 0
}

func (c *cluster) machineOf(name string) *machine {
	found := c.find(name)
	if found == nil {
		c.t.Fatalf("there is no machine %s", name)
	}
	return found
}

// find returns the named machine, or nil.
func (c *cluster) find(name string) *machine {
	for _, m := range c.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

// memoryRoot is a file system in memory on Linux.
const memoryRoot = "/dev/shm"

// memoryFolder returns a folder on a file system in memory, so that slow syncs of a busy machine's disk don't fail
// tests of replication. Tests about slow disks simulate them.
func memoryFolder(t *testing.T) string {
	t.Helper()
	folder, err := os.MkdirTemp(memoryRoot, "mountstile-test-")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(folder) })
	return folder
}
