package partition

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/configstore"
	"github.com/mountstile/mountstile/internal/consensus"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/replica"
)

const (
	storePrefix   = "/mountstile/partitions/"
	tablePrefix   = "partitions/"
	membersPrefix = "partition/"

	checkInterval = time.Second
	// tableProposers is the number of members that try to commit the first table of a region; the
	// others receive it by gossip.
	tableProposers = 2
	storeTimeout   = 5 * time.Second
)

// Options holds the parameters of a Manager.
type Options struct {
	Store      configstore.Store
	Membership *membership.Manager
	Host       *replica.Host
	Logger     *events.Logger
	// InitialNodes is the number of nodes that a region must have before its partitions are placed.
	InitialNodes int
	// Partitions is the number of partitions of a new region.
	Partitions int
	// RepairDelay is the time for which the node of a replica must be unavailable before the replica is
	// replaced.
	RepairDelay time.Duration
}

// Manager tracks the placement of partitions, starts the replicas of this node, and repairs the groups
// that it leads.
type Manager struct {
	options Options

	mutex   sync.Mutex
	tables  map[string]*Table
	members map[uint32]membersRecord
	// unavailableSince is the time at which each replica was first seen without a usable node.
	unavailableSince map[string]time.Time
	// quorumLost is the result of the last check of each group.
	quorumLost map[uint32]bool
}

// membersRecord is the value of the membership record with the current members of a group.
type membersRecord struct {
	// version is the version of the record, which is the log index of the membership change.
	version uint64
	Members consensus.Members `json:"members"`
}

// NewManager returns a Manager subscribed to membership changes. It must be called before the membership
// manager runs.
func NewManager(options Options) *Manager {
	manager := &Manager{
		options:          options,
		tables:           make(map[string]*Table),
		members:          make(map[uint32]membersRecord),
		unavailableSince: make(map[string]time.Time),
		quorumLost:       make(map[uint32]bool),
	}
	options.Membership.Subscribe(manager.onMembershipChange)
	return manager
}

func (m *Manager) onMembershipChange(change membership.Change) {
	if change.Record == nil {
		return
	}
	if region, ok := strings.CutPrefix(change.Record.Key, tablePrefix); ok {
		var table Table
		if json.Unmarshal(change.Record.Value, &table) == nil && len(table.Partitions) > 0 {
			m.adoptTable(region, &table)
		}
		return
	}
	if number, ok := strings.CutPrefix(change.Record.Key, membersPrefix); ok {
		id, err := strconv.ParseUint(number, 10, 32)
		record := membersRecord{version: change.Record.Version}
		if err == nil && json.Unmarshal(change.Record.Value, &record) == nil {
			m.mutex.Lock()
			m.members[uint32(id)] = record
			m.mutex.Unlock()
		}
	}
}

// adoptTable stores a table unless one of the same or a later generation is known.
func (m *Manager) adoptTable(region string, table *Table) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if known := m.tables[region]; known == nil || known.Generation < table.Generation {
		m.tables[region] = table
	}
}

// Ready reports whether the partition table of this node's region is known.
func (m *Manager) Ready() bool { return m.table(m.options.Membership.View().Self.Region) != nil }

func (m *Manager) table(region string) *Table {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.tables[region]
}

// Locate returns the partition of a program and its current voters. An empty region selects the first
// region by name.
func (m *Manager) Locate(region, tenant, root string) (uint32, []string, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	table := m.tables[region]
	if region == "" {
		table = m.firstTable()
	}
	if table == nil {
		return 0, nil, apierr.New(apierr.PartitionUnavailable, apierr.NotRun, "region %q has no partitions yet", region).WithRetryAfter(time.Second)
	}
	placement := table.ForKey(tenant, root)
	return placement.ID, m.currentVoters(placement), nil
}

func (m *Manager) firstTable() *Table {
	var first *Table
	for _, table := range m.tables {
		if first == nil || table.Region < first.Region {
			first = table
		}
	}
	return first
}

func (m *Manager) currentVoters(placement Placement) []string {
	if record, changed := m.members[placement.ID]; changed {
		return record.Members.Voters
	}
	return placement.Members
}

// Placements returns all known partitions with their current voters, ordered by ID.
func (m *Manager) Placements() []Placement {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var result []Placement
	for _, table := range m.tables {
		for _, placement := range table.Partitions {
			result = append(result, Placement{ID: placement.ID, Members: m.currentVoters(placement)})
		}
	}
	slices.SortFunc(result, func(a, b Placement) int { return int(a.ID) - int(b.ID) })
	return result
}

// OnStatusChange publishes the members of a group that this node leads. Set it as
// replica.Options.OnStatusChange.
func (m *Manager) OnStatusChange(status replica.Status) {
	if !status.IsLeader || status.MembersIndex <= 1 {
		return
	}
	value, err := json.Marshal(membersRecord{Members: status.Members})
	if err != nil {
		return
	}
	m.options.Logger.Emit(events.GroupMembersChanged, events.F("partition", status.Group), events.F("voters", status.Members.Voters))
	record := membership.Record{Key: membersPrefix + strconv.FormatUint(uint64(status.Group), 10), Version: status.MembersIndex, Value: value}
	// Do not block the goroutine of the group: SetRecord may call back into it.
	go m.options.Membership.SetRecord(record)
}

// Run creates the table, starts replicas and repairs groups until ctx is done.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		m.ensureTable(ctx)
		m.startReplicas()
		m.updateUnavailable()
		m.repairGroups(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ensureTable publishes the region's table from the store, or commits the first one once the region has enough nodes.
func (m *Manager) ensureTable(ctx context.Context) {
	view := m.options.Membership.View()
	region := view.Self.Region
	if m.table(region) != nil {
		return
	}
	inRegion := slices.DeleteFunc(view.Eligible(), func(member membership.Member) bool { return member.Region != region })
	if !isTableProposer(inRegion, view.Self.ID) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	table, err := m.commitTable(ctx, region, inRegion)
	if err != nil {
		m.options.Logger.Emit(events.ConfigStoreFailed, events.F("error", err))
		return
	}
	if table != nil {
		m.publishTable(table)
	}
}

func isTableProposer(members []membership.Member, id string) bool {
	ranked := membership.Rank(members, "partition-table")
	for _, member := range ranked[:min(tableProposers, len(ranked))] {
		if member.ID == id {
			return true
		}
	}
	return false
}

// commitTable returns the table that the store has or, if it has none, writes one. It returns nil if there are too few
// members for a first table.
func (m *Manager) commitTable(ctx context.Context, region string, members []membership.Member) (*Table, error) {
	key := storePrefix + region
	entry, err := m.options.Store.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	if entry.Revision > 0 {
		return decodeTable(entry.Value)
	}
	if len(members) < m.options.InitialNodes {
		return nil, nil
	}
	table := NewTable(region, m.options.Partitions, members)
	encoded, err := json.Marshal(table)
	if err != nil {
		return nil, errors.Wrap(err, "encoding the partition table")
	}
	err = m.options.Store.CompareAndSwap(ctx, key, 0, []configstore.Write{{Key: key, Value: encoded}})
	var conflict *configstore.ErrConflict
	if errors.As(err, &conflict) {
		return decodeTable(conflict.Actual.Value)
	}
	if err != nil {
		return nil, err
	}
	m.options.Logger.Emit(events.PartitionTableMade, events.F("region", region), events.F("partitions", len(table.Partitions)))
	return &table, nil
}

func decodeTable(encoded []byte) (*Table, error) {
	var table Table
	if err := json.Unmarshal(encoded, &table); err != nil {
		return nil, errors.Wrap(err, "decoding the partition table")
	}
	return &table, nil
}

func (m *Manager) publishTable(table *Table) {
	encoded, err := json.Marshal(table)
	if err != nil {
		return
	}
	m.options.Membership.SetRecord(membership.Record{Key: tablePrefix + table.Region, Version: table.Generation, Value: encoded})
}

// startReplicas starts the replicas that the table places on this node, unless the members of their
// groups have changed since.
func (m *Manager) startReplicas() {
	view := m.options.Membership.View()
	table := m.table(view.Self.Region)
	if table == nil {
		return
	}
	for _, placement := range table.Partitions {
		m.mutex.Lock()
		_, changed := m.members[placement.ID]
		m.mutex.Unlock()
		if changed || !slices.Contains(placement.Members, view.Self.ReplicaID) {
			continue
		}
		if err := m.options.Host.Start(placement.ID, &consensus.Members{Voters: placement.Members}); err != nil {
			m.options.Logger.Emit(events.StorageFailed, events.F("partition", placement.ID), events.F("error", err))
		}
	}
}
