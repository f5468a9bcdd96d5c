// Package events defines the numbered log events and the logger that writes them. docs/EVENTS.md is
// generated from the catalogue, and a test fails if the two differ.
package events

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// ID is the number of an event. A number is never reused.
type ID int

// The events, grouped by hundreds: 1xx node, 2xx membership, 3xx configuration, 4xx program state,
// 5xx scheduling and engines, 6xx gateway, 7xx administration, 8xx transport.
const (
	NodeStarting           ID = 101
	NodeReady              ID = 102
	NodeStopping           ID = 103
	NodeStopped            ID = 104
	PlainTransport         ID = 105
	ListenerFailed         ID = 106
	MachineLeaving         ID = 107
	MachineListFailed      ID = 108
	IdentityInUse          ID = 109
	SettingsAwaited        ID = 115
	MemberAlive            ID = 201
	MemberSuspect          ID = 202
	MemberDead             ID = 203
	MemberLeft             ID = 204
	SelfRefuted            ID = 205
	SelfPaused             ID = 206
	ConfigInstalled        ID = 301
	ConfigPublished        ID = 302
	ConfigConflict         ID = 303
	ConfigStoreFailed      ID = 304
	ConfigStoreOlder       ID = 305
	ConfigFetchFailed      ID = 306
	ConfigRejected         ID = 307
	CatalogSourceStarted   ID = 308
	CatalogSourceStopped   ID = 309
	CatalogPeerReached     ID = 310
	CatalogPeerLost        ID = 311
	StoreReached           ID = 312
	StoreLost              ID = 313
	RoutesInstalled        ID = 314
	SettingsReloaded       ID = 315
	PublishRejected        ID = 316
	PublishFailed          ID = 317
	PartitionTableMade     ID = 401
	GroupStarted           ID = 402
	GroupLeader            ID = 403
	GroupMembersChanged    ID = 404
	GroupRemoved           ID = 405
	GroupQuorumLost        ID = 406
	StorageFailed          ID = 407
	AttemptLost            ID = 408
	ProgramExpired         ID = 409
	BudgetOverrun          ID = 410
	AttemptUnheld          ID = 411
	ReplicaOpened          ID = 412
	ReplicaComplete        ID = 413
	ReplicaSetChanged      ID = 414
	ReplicaSetStep         ID = 415
	ReplicaLogFailed       ID = 416
	TurnRefused            ID = 417
	TurnNotKept            ID = 418
	ReplicaRetiring        ID = 419
	ReplicasLost           ID = 420
	ReplicasRegained       ID = 421
	ReplicaShardChanged    ID = 422
	ReplicaWaiting         ID = 423
	ReplicaEvicting        ID = 424
	ReplicaWithoutSet      ID = 425
	CacheReleased          ID = 501
	CacheReleaseFailed     ID = 502
	EngineBreakerOpen      ID = 503
	EngineBreakerClosed    ID = 504
	PolicyEvaluationFailed ID = 505
	EngineResumed          ID = 506
	EngineStalled          ID = 507
	ModelOrdered           ID = 508
	ModelLoaded            ID = 509
	OrderFenced            ID = 510
	OrderFailed            ID = 511
	EngineChanged          ID = 512
	EngineGone             ID = 513
	AttemptRetried         ID = 514
	StoreOutageEnded       ID = 515
	StreamResumed          ID = 516
	ModelRefuted           ID = 517
	EngineEnded            ID = 518
	ReportInvalid          ID = 519
	RequestFatal           ID = 520
	EngineRestarted        ID = 521
	RunHeld                ID = 522
	RunAdmitted            ID = 523
	CallFailed             ID = 601
	CallRefused            ID = 602
	RequestPanicked        ID = 603
	RequestEnded           ID = 604
	RequestFailed          ID = 605
	RequestMalformed       ID = 606
	AdminChange            ID = 701
	AdminDenied            ID = 702
	DrainRequested         ID = 703
	PeerRejected           ID = 801
	PeerLineTooLong        ID = 802
	CertificatesReloaded   ID = 803
	PeerWayChanged         ID = 804
	MessageMisdirected     ID = 805
	PeerMessageRefused     ID = 806
)

// Event is an entry of the catalogue: an event's number, name, level and log message.
type Event struct {
	ID    ID
	Name  string
	Level logrus.Level
	Text  string
}

// Catalogue lists all events by number.
var Catalogue = []Event{
	{NodeStarting, "node_starting", logrus.InfoLevel, "the process has read its settings and starts"},
	{NodeReady, "node_ready", logrus.InfoLevel, "the node holds a configuration and serves callers"},
	{NodeStopping, "node_stopping", logrus.InfoLevel, "a planned stop began; new calls are refused and leadership moves"},
	{NodeStopped, "node_stopped", logrus.InfoLevel, "the node has stopped"},
	{PlainTransport, "plain_transport", logrus.WarnLevel, "traffic between nodes is neither encrypted nor authenticated"},
	{ListenerFailed, "listener_failed", logrus.ErrorLevel, "a listener could not be opened, or ended with an error"},
	{MachineLeaving, "machine_leaving", logrus.InfoLevel, "the platform's list says that this machine leaves; a planned stop begins"},
	{MachineListFailed, "machine_list_failed", logrus.DebugLevel, "the platform's machine list could not be read; it is a hint only"},
	{IdentityInUse, "identity_in_use", logrus.ErrorLevel, "another live node has the replica identity of this data folder; this node waits with its replicas"},
	{SettingsAwaited, "settings_awaited", logrus.WarnLevel, "the settings file is missing or invalid; the process waits for a valid one"},
	{MemberAlive, "member_alive", logrus.InfoLevel, "a member joined or came back"},
	{MemberSuspect, "member_suspect", logrus.InfoLevel, "a member did not answer direct and indirect probes"},
	{MemberDead, "member_dead", logrus.WarnLevel, "a suspected member did not refute in time and counts as dead"},
	{MemberLeft, "member_left", logrus.InfoLevel, "a member announced that it leaves"},
	{SelfRefuted, "self_refuted", logrus.InfoLevel, "this node was suspected and raised its incarnation"},
	{SelfPaused, "self_paused", logrus.WarnLevel, "this process did not run for longer than its failure detector allows"},
	{ConfigInstalled, "config_installed", logrus.InfoLevel, "a configuration revision is in force on this node"},
	{ConfigPublished, "config_published", logrus.InfoLevel, "a change was committed in the store"},
	{ConfigConflict, "config_conflict", logrus.InfoLevel, "a change was refused because another one came first"},
	{ConfigStoreFailed, "config_store_failed", logrus.WarnLevel, "the configuration store did not answer or refused"},
	{ConfigStoreOlder, "config_store_older", logrus.ErrorLevel, "the store shows a lower revision than this node has in force; it is ignored"},
	{ConfigFetchFailed, "config_fetch_failed", logrus.WarnLevel, "a newer revision could not be fetched from a peer"},
	{ConfigRejected, "config_rejected", logrus.ErrorLevel, "a revision in the store does not pass this node's checks and is not installed"},
	{CatalogSourceStarted, "catalog_source_started", logrus.InfoLevel, "the node reads the store itself"},
	{CatalogSourceStopped, "catalog_source_stopped", logrus.InfoLevel, "the node no longer reads the store itself; a peer's catalog is fresh"},
	{CatalogPeerReached, "catalog_peer_reached", logrus.InfoLevel, "a peer's catalog is followed"},
	{CatalogPeerLost, "catalog_peer_lost", logrus.WarnLevel, "a peer's catalog can't be followed; it is tried again"},
	{StoreReached, "store_reached", logrus.InfoLevel, "the store answers"},
	{StoreLost, "store_lost", logrus.WarnLevel, "the store does not answer, or refuses this node"},
	{RoutesInstalled, "routes_installed", logrus.InfoLevel, "a configuration of routes is in force on this node"},
	{SettingsReloaded, "settings_reloaded", logrus.InfoLevel, "the settings file was read again"},
	{PublishRejected, "publish_rejected", logrus.WarnLevel, "another node published a catalog entry that nodes may not publish"},
	{PublishFailed, "publish_failed", logrus.WarnLevel, "no replica took the ends of engines that this node reports; other gateways don't know of them"},
	{PartitionTableMade, "partition_table_made", logrus.InfoLevel, "the initial placement of partitions was committed in the store"},
	{GroupStarted, "group_started", logrus.DebugLevel, "this node holds a replica of a partition"},
	{GroupLeader, "group_leader", logrus.InfoLevel, "this node leads a partition"},
	{GroupMembersChanged, "group_members_changed", logrus.InfoLevel, "a partition's replicas changed through its log"},
	{GroupRemoved, "group_removed", logrus.InfoLevel, "this node's replica of a partition was removed"},
	{GroupQuorumLost, "group_quorum_lost", logrus.ErrorLevel, "a majority of a partition's replicas is dead; its programs are unavailable"},
	{StorageFailed, "storage_failed", logrus.ErrorLevel, "the data folder could not be read or written"},
	{AttemptLost, "attempt_lost", logrus.WarnLevel, "the node that executed a call is gone"},
	{ProgramExpired, "program_expired", logrus.InfoLevel, "a program reached its idle or wall-clock limit and was ended"},
	{BudgetOverrun, "budget_overrun", logrus.ErrorLevel, "an engine reported more tokens than its call had reserved"},
	{AttemptUnheld, "attempt_unheld", logrus.WarnLevel, "a node does not execute a call that was dispatched to it; the attempt counts as lost"},
	{ReplicaOpened, "replica_opened", logrus.InfoLevel, "the turn log was read; the replica serves"},
	{ReplicaComplete, "replica_complete", logrus.InfoLevel, "the replica has everything that its peers have; what it doesn't know does not exist"},
	{ReplicaSetChanged, "replica_set_changed", logrus.InfoLevel, "a newer replica set is in force"},
	{ReplicaSetStep, "replica_set_step", logrus.InfoLevel, "this replica changes the replica set"},
	{ReplicaLogFailed, "replica_log_failed", logrus.ErrorLevel, "the turn log could not be written"},
	{TurnRefused, "turn_refused", logrus.InfoLevel, "a turn was refused: budget spent, unknown previous turn, or too few replicas"},
	{TurnNotKept, "turn_not_kept", logrus.WarnLevel, "a turn's record did not reach enough replicas; its answer was broken off"},
	{ReplicaRetiring, "replica_retiring", logrus.InfoLevel, "this replica hands over what it holds, to be taken away"},
	{ReplicasLost, "replicas_lost", logrus.WarnLevel, "too few replicas answer this gateway; it is not ready and refuses turns soon"},
	{ReplicasRegained, "replicas_regained", logrus.InfoLevel, "enough replicas answer this gateway again"},
	{ReplicaShardChanged, "replica_shard_changed", logrus.InfoLevel, "this spare holds another shard from now on, for that one lacks a member"},
	{ReplicaWaiting, "replica_waiting", logrus.WarnLevel, "this replica has lacked records, or a place in its set, for long; the fields name what it waits for"},
	{ReplicaEvicting, "replica_evicting", logrus.WarnLevel, "a lost member, or this one if it is empty, leaves the set, for its place can't be taken before all records are fetched"},
	{ReplicaWithoutSet, "replica_without_set", logrus.InfoLevel, "this replica knows no replica set; waits_for names what it waits for before the first sets are created"},
	{CacheReleased, "cache_released", logrus.DebugLevel, "an engine confirmed that it holds no cache of an ended program"},
	{CacheReleaseFailed, "cache_release_failed", logrus.WarnLevel, "an engine did not confirm a release; it is tried again"},
	{EngineBreakerOpen, "engine_breaker_open", logrus.WarnLevel, "an engine failed repeatedly and gets no work for a while"},
	{EngineBreakerClosed, "engine_breaker_closed", logrus.InfoLevel, "an engine answers again"},
	{PolicyEvaluationFailed, "policy_evaluation_failed", logrus.WarnLevel, "a policy failed at run time; the candidate was left out"},
	{EngineResumed, "engine_resumed", logrus.InfoLevel, "an answer was continued on another engine from the tokens already held"},
	{EngineStalled, "engine_stalled", logrus.WarnLevel, "an engine sent nothing for too long; the attempt counts as lost"},
	{ModelOrdered, "model_ordered", logrus.InfoLevel, "an engine was ordered to load another model"},
	{ModelLoaded, "model_loaded", logrus.InfoLevel, "an engine has loaded a model"},
	{OrderFenced, "order_fenced", logrus.WarnLevel, "an engine refused an order, for it has seen a higher token"},
	{OrderFailed, "order_failed", logrus.WarnLevel, "an order did not reach an engine, or its answer was lost"},
	{EngineChanged, "engine_changed", logrus.InfoLevel, "an engine's record appeared or changed"},
	{EngineGone, "engine_gone", logrus.InfoLevel, "an engine's record went"},
	{AttemptRetried, "attempt_retried", logrus.InfoLevel, "an attempt failed and the call goes to another engine"},
	{StoreOutageEnded, "store_outage_ended", logrus.InfoLevel, "the store is heard of again; records of engines that went meanwhile may come back"},
	{StreamResumed, "stream_resumed", logrus.InfoLevel, "another run was to go on with a stream that had broken off; status, events and outcome tell what it brought"},
	{ModelRefuted, "model_refuted", logrus.WarnLevel, "an engine had not the model that its record tells; it gets no calls of that model for a while"},
	{EngineEnded, "engine_ended", logrus.InfoLevel, "an engine has ended; requests are those that this node ran there, a bounded number of them"},
	{ReportInvalid, "report_invalid", logrus.WarnLevel, "a report of an engine's end could not be read or written"},
	{RequestFatal, "request_fatal", logrus.WarnLevel, "so many engines have ended under a request that it is not sent again"},
	{EngineRestarted, "engine_restarted", logrus.InfoLevel, "an engine started again under its ID; what was known of its earlier life does not apply"},
	{RunHeld, "run_held", logrus.InfoLevel, "a call is held before its next run because engines have ended under its content, or may have; ended are proved, possible not yet, open are runs of it at other nodes"},
	{RunAdmitted, "run_admitted", logrus.InfoLevel, "a run begins though engines have ended under its content, or may have; the counts are those of run_held, held_millis is how long the call was held"},
	{CallFailed, "call_failed", logrus.WarnLevel, "a call ended with a failure"},
	{CallRefused, "call_refused", logrus.DebugLevel, "a call was refused as not run"},
	{RequestPanicked, "request_panicked", logrus.ErrorLevel, "a request handler panicked; the request was failed"},
	{RequestEnded, "request_ended", logrus.InfoLevel, "a routed request was answered"},
	{RequestFailed, "request_failed", logrus.WarnLevel, "a routed request was refused or failed"},
	{RequestMalformed, "request_malformed", logrus.WarnLevel, "what came on a caller's connection is no request, or its head is too large; it was refused"},
	{AdminChange, "admin_change", logrus.InfoLevel, "an operator changed resources"},
	{AdminDenied, "admin_denied", logrus.WarnLevel, "an administration request had no valid key or role"},
	{DrainRequested, "drain_requested", logrus.InfoLevel, "an operator asked to drain"},
	{PeerRejected, "peer_rejected", logrus.WarnLevel, "a connection between nodes was refused"},
	{PeerLineTooLong, "peer_line_too_long", logrus.WarnLevel, "a peer sent a line over the limit; its connection was closed"},
	{CertificatesReloaded, "certificates_reloaded", logrus.InfoLevel, "node certificates were read again"},
	{PeerWayChanged, "peer_way_changed", logrus.InfoLevel, "a peer that can't be reached directly was reached through a relay, or directly again if none is named"},
	{MessageMisdirected, "message_misdirected", logrus.WarnLevel, "a message for another node was refused; one line for each connection"},
	{PeerMessageRefused, "peer_message_refused", logrus.WarnLevel, "messages of peers were discarded because the memory for them is in use; at most one line a second"},
}

var byID = func() map[ID]Event {
	index := make(map[ID]Event, len(Catalogue))
	for _, event := range Catalogue {
		index[event.ID] = event
	}
	return index
}()

// Logger writes events of the catalogue. The zero value and nil discard them.
type Logger struct {
	entry     *logrus.Entry
	startedAt time.Time
}

// timeLayout includes milliseconds, so that the lines of several processes can be sorted by time.
const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a Logger that writes JSON lines to output. Events below level are discarded, and each line
// has the node's name.
func NewLogger(output io.Writer, level logrus.Level, node string) *Logger {
	logger := logrus.New()
	logger.SetOutput(output)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeLayout})
	return &Logger{entry: logger.WithField("node", node), startedAt: time.Now()}
}

// Discard returns a Logger that writes nothing.
func Discard() *Logger { return NewLogger(io.Discard, logrus.PanicLevel, "") }

// Field is a named value of a log line.
type Field struct {
	Name  string
	Value any
}

// F returns a Field; it keeps calls of Emit short.
func F(name string, value any) Field { return Field{Name: name, Value: value} }

// Emit writes an event with its fields. Values that are errors are written as their messages.
func (l *Logger) Emit(id ID, fields ...Field) {
	if l == nil || l.entry == nil {
		return
	}
	event := byID[id]
	if !l.entry.Logger.IsLevelEnabled(event.Level) {
		return
	}
	values := make(logrus.Fields, len(fields)+2)
	values["event"] = int(id)
	// Unlike the wall clock, the monotonic time since the start never jumps.
	values["up_millis"] = time.Since(l.startedAt).Milliseconds()
	values["name"] = event.Name
	for _, field := range fields {
		if err, isError := field.Value.(error); isError && err != nil {
			values[field.Name] = err.Error()
			continue
		}
		values[field.Name] = field.Value
	}
	l.entry.WithFields(values).Log(event.Level, event.Text)
}
