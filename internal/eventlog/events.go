// Package events is the closed, numbered list of what a daemon logs. Each
// event has a fixed number and text; docs/events.md is the catalogue, and a
// test holds the two together. Nothing on a request's ordinary way is logged:
// a line costs processor time.
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
	Headless
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
)

// Texts is the catalogue.
var Texts = map[Event]string{
	Started:                 "daemon started",
	Stopping:                "stop asked for, work in hand is finished",
	Stopped:                 "daemon stopped",
	SettingsReloaded:        "changed settings taken up",
	SettingsRejected:        "changed settings refused, the old ones stay",
	LeaderElected:           "leadership won",
	LeadershipLost:          "leadership lost",
	MembershipChanged:       "core membership changed",
	SnapshotWritten:         "snapshot written, log cut",
	DiskWriteFailed:         "disk refused a write",
	EndpointListFailed:      "platform's list could not be read",
	NodeJoined:              "fellow joined",
	NodeExpired:             "fellow not heard any more",
	ShardMapChanged:         "shard map changed",
	Headless:                "no leader, every service is probed here",
	LeaderFound:             "leader found",
	ConfigAccepted:          "configuration acknowledged",
	EvacuationAccepted:      "evacuation acknowledged",
	EndpointHealthChanged:   "health of a backend changed",
	ChangeObserved:          "change seen on this daemon",
	NotificationsDropped:    "events not delivered to their receiver",
	EjectionChanged:         "backend set aside or let back",
	RetirementProgress:      "order to retire a backend goes on",
	ScheduleProgress:        "target of the day's plan goes on or waits",
	IsolationChanged:        "cut off from leader and fellows, or back in touch",
	OperatorRequestAccepted: "operator's order acknowledged",
	OperatorRequestRejected: "operator's order refused",
	SessionMoved:            "session moved to another backend",
	NodeRequestRejected:     "malformed call of a daemon refused",
	PeerMessageRejected:     "message of another core refused",
	DiskFull:                "disk is full, writes wait, or go on",
	RecordCorrupt:           "disk cannot be read, the core does not start",
	RetriesSuppressed:       "retries to a slow service held back, or let again",
	JoinRejected:            "core refused as a member",
}

// Logger writes numbered events.
type Logger struct{ zap *zap.Logger }

// New makes a log that names the daemon on each line.
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

// Discard makes a log that drops everything.
func Discard() (log *Logger) { return &Logger{zap: zap.NewNop()} }

// Emit writes one event with its fields as key and value in turn.
func (l *Logger) Emit(event Event, pairs ...any) {
	fields := make([]zap.Field, 0, len(pairs)/2+1)
	fields = append(fields, zap.Int("event", int(event)))
	for i := 0; i+1 < len(pairs); i += 2 {
		fields = append(fields, zap.Any(fmt.Sprint(pairs[i]), pairs[i+1]))
	}
	l.zap.Info(Texts[event], fields...)
}
