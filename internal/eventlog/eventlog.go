// Package eventlog owns the closed, numbered list of what a daemon logs. Each
// event has a fixed number, text and level; docs/events.md is the catalogue,
// and a test holds the two together. Handling an ordinary request logs nothing,
// since every line costs processor time. A Logger may be used by any goroutine.
package eventlog

import (
	"fmt"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is the number of a log line.
type Event int

// The numbered events.
const (
	Started Event = iota + 101
	Stopping
	Stopped
	SettingsReloaded
	SettingsRejected
	LeaderElected
	LeadershipLost
	MembershipChanged
	SnapshotWritten
	DiskWriteFailed
	EndpointListFailed
	NodeJoined
	NodeExpired
	ShardMapChanged
	NoLeader
	LeaderFound
	ConfigAccepted
	EvacuationAccepted
	EndpointHealthChanged
	ChangeObserved
	NotificationsDropped
	EjectionChanged
	RetirementProgress
	ScheduleProgress
	IsolationChanged
	OperatorRequestAccepted
	SessionMoved
	NodeRequestRejected
	RetriesSuppressed
	JoinRejected
	PeerMessageRejected
	RecordCorrupt
	OperatorRequestRejected
	DiskFull
	ClientsLeft
	MetricsNotServed
	ShutdownPhase
	SignalIgnored
	LeaderLost
	MembershipWaits
)

// Entry is the fixed part of an event's log line.
type Entry struct {
	Text  string
	Level zapcore.Level
}

const (
	info  = zapcore.InfoLevel
	warn  = zapcore.WarnLevel
	fault = zapcore.ErrorLevel
)

// Catalogue holds every event. A number is never given to another event.
var Catalogue = map[Event]Entry{
	Started:                 {"daemon started", info},
	Stopping:                {"shutdown requested, draining", info},
	Stopped:                 {"daemon stopped", info},
	SettingsReloaded:        {"settings reloaded", info},
	SettingsRejected:        {"update rejected, previous settings stay", warn},
	LeaderElected:           {"leader elected", info},
	LeadershipLost:          {"leadership lost", warn},
	MembershipChanged:       {"controller membership changed", info},
	SnapshotWritten:         {"snapshot written", info},
	DiskWriteFailed:         {"disk write failed", fault},
	EndpointListFailed:      {"endpoint list not read", warn},
	NodeJoined:              {"node joined", info},
	NodeExpired:             {"node expired", warn},
	ShardMapChanged:         {"shard map changed", info},
	NoLeader:                {"no leader, this node probes all services", warn},
	LeaderFound:             {"leader found", info},
	ConfigAccepted:          {"configuration accepted", info},
	EvacuationAccepted:      {"evacuation started or ended", info},
	EndpointHealthChanged:   {"endpoint health changed", info},
	ChangeObserved:          {"change observed", info},
	NotificationsDropped:    {"notifications dropped", warn},
	EjectionChanged:         {"endpoint ejected or reinstated", warn},
	RetirementProgress:      {"endpoint retirement progressed", info},
	ScheduleProgress:        {"schedule step advanced or waits", info},
	IsolationChanged:        {"node isolated or reconnected", warn},
	OperatorRequestAccepted: {"operator request accepted", info},
	SessionMoved:            {"session moved to another endpoint", info},
	NodeRequestRejected:     {"malformed node request rejected", warn},
	RetriesSuppressed:       {"retries suppressed or resumed", warn},
	JoinRejected:            {"controller join rejected", warn},
	PeerMessageRejected:     {"controller message rejected", warn},
	RecordCorrupt:           {"stored data corrupt, controller does not start", fault},
	OperatorRequestRejected: {"operator request rejected", info},
	DiskFull:                {"disk full, writes paused or resumed", warn},
	ClientsLeft:             {"clients left with requests unanswered", info},
	MetricsNotServed:        {"figures not served", warn},
	ShutdownPhase:           {"shutdown phase ended", info},
	SignalIgnored:           {"signal ignored during shutdown", info},
	LeaderLost:              {"leader lost, search begins", warn},
	MembershipWaits:         {"controller membership change waits", warn},
}

// Logger writes numbered events.
type Logger struct{ zap *zap.Logger }

// New makes a logger to standard output that names the daemon on each line.
func New(daemon string) (log *Logger) {
	config := zap.NewProductionConfig()
	config.Sampling = nil
	config.DisableCaller = true
	config.DisableStacktrace = true
	config.OutputPaths = []string{"stdout"}
	config.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	built, err := config.Build()
	if err != nil {
		built = zap.NewNop()
	}
	return &Logger{zap: built.With(zap.String("daemon", daemon))}
}

// Discard makes a logger that drops everything.
func Discard() (log *Logger) { return &Logger{zap: zap.NewNop()} }

// Emit writes one event with its fields as key and value in turn.
func (l *Logger) Emit(event Event, pairs ...any) {
	fields := make([]zap.Field, 0, len(pairs)/2+1)
	fields = append(fields, zap.Int("event", int(event)))
	for i := 0; i+1 < len(pairs); i += 2 {
		fields = append(fields, zap.Any(fmt.Sprint(pairs[i]), pairs[i+1]))
	}
	entry := Catalogue[event]
	l.zap.Log(entry.Level, entry.Text, fields...)
}
