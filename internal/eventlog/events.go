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
	PropsTaken
	PropsRefused
	LeaderWon
	LeaderLost
	MemberChanged
	SnapshotTaken
	DiskFailed
	ListFailed
	FellowJoined
	FellowLost
	MapChanged
	Headless
	LeaderFound
	ConfigTaken
	EvacuationTaken
	HealthChanged
	ChangeSeen
	EventsDropped
	AsideChanged
	RetireStands
	MoveStands
	CutOff
	OrderTaken
	SessionMoved
	AskRefused
	RetriesHeld
	JoinRefused
	MessageRefused
	RecordSpoiled
	OrderRefused
	DiskFull
)

// Texts is the catalogue.
var Texts = map[Event]string{
	Started:         "daemon started",
	Stopping:        "stop asked for, work in hand is finished",
	Stopped:         "daemon stopped",
	PropsTaken:      "changed settings taken up",
	PropsRefused:    "changed settings refused, the old ones stay",
	LeaderWon:       "leadership won",
	LeaderLost:      "leadership lost",
	MemberChanged:   "core membership changed",
	SnapshotTaken:   "snapshot written, log cut",
	DiskFailed:      "disk refused a write",
	ListFailed:      "platform's list could not be read",
	FellowJoined:    "fellow joined",
	FellowLost:      "fellow not heard any more",
	MapChanged:      "shard map changed",
	Headless:        "no leader, every service is probed here",
	LeaderFound:     "leader found",
	ConfigTaken:     "configuration acknowledged",
	EvacuationTaken: "evacuation acknowledged",
	HealthChanged:   "health of a backend changed",
	ChangeSeen:      "change seen on this daemon",
	EventsDropped:   "events not delivered to their receiver",
	AsideChanged:    "backend set aside or let back",
	RetireStands:    "order to retire a backend goes on",
	MoveStands:      "target of the day's plan goes on or waits",
	CutOff:          "cut off from leader and fellows, or back in touch",
	OrderTaken:      "operator's order acknowledged",
	OrderRefused:    "operator's order refused",
	SessionMoved:    "session moved to another backend",
	AskRefused:      "malformed call of a daemon refused",
	MessageRefused:  "message of another core refused",
	DiskFull:        "disk is full, writes wait, or go on",
	RecordSpoiled:   "disk cannot be read, the core does not start",
	RetriesHeld:     "retries to a slow service held back, or let again",
	JoinRefused:     "core refused as a member",
}

// Log writes numbered events.
type Log struct{ zap *zap.Logger }

// New makes a log that names the daemon on each line.
func New(daemon string) (log *Log) {
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
	return &Log{zap: built.With(zap.String("daemon", daemon))}
}

// Quiet makes a log that drops everything.
func Quiet() (log *Log) { return &Log{zap: zap.NewNop()} }

// Say writes one event with its fields as key and value in turn.
func (l *Log) Say(event Event, pairs ...any) {
	fields := make([]zap.Field, 0, len(pairs)/2+1)
	fields = append(fields, zap.Int("event", int(event)))
	for i := 0; i+1 < len(pairs); i += 2 {
		fields = append(fields, zap.Any(fmt.Sprint(pairs[i]), pairs[i+1]))
	}
	l.zap.Info(Texts[event], fields...)
}
