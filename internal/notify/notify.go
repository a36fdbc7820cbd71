// Package herald tells an outside receiver of changes as CloudEvents, by the
// CloudEvents library. It is off unless events_to is set. A bounded ring lies
// between the daemon and the receiver: one that is slow or gone costs it the
// events that do not fit, and never the daemon any time.
package notify

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	cloudevents "github.com/cloudevents/sdk-go/v2"
	cehttp "github.com/cloudevents/sdk-go/v2/protocol/http"

	"github.com/zeebo/errs"

	"tinpin/internal/eventlog"
	"tinpin/internal/history"
)

// Class marks failures of the herald.
var Class = errs.Class("herald")

const (
	queueCapacity = 256
	sendTimeout   = 2 * time.Second
)

// Notifier tells of changes.
type Notifier struct {
	client  cloudevents.Client
	source  string
	log     *eventlog.Logger
	queue   chan history.Change
	count   uint64
	dropped atomic.Uint64
}

// New tells a receiver at an http address, in the name of a daemon.
func New(target, daemon string, log *eventlog.Logger) (herald *Notifier, err error) {
	protocol, err := cloudevents.NewHTTP(cloudevents.WithTarget(target), cehttp.WithClient(http.Client{Timeout: sendTimeout}))
	if err != nil {
		return nil, Class.Wrap(err)
	}
	client, err := cloudevents.NewClient(protocol)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	herald = &Notifier{client: client, source: "/tinpin/" + daemon, log: log, queue: make(chan history.Change, queueCapacity)}
	go herald.run()
	return herald, nil
}

// Notify puts a change into the ring, or counts it as dropped.
func (h *Notifier) Notify(mark history.Change) {
	select {
	case h.queue <- mark:
	default:
		h.dropped.Add(1)
	}
}

// Dropped counts the events that were not delivered.
func (h *Notifier) Dropped() uint64 { return h.dropped.Load() }

// Event makes the event of a change.
func (h *Notifier) Event(mark history.Change) (event cloudevents.Event, err error) {
	h.count++
	event = cloudevents.NewEvent()
	event.SetID(fmt.Sprintf("%d-%d", time.Now().UnixNano(), h.count))
	event.SetSource(h.source)
	event.SetType("tinpin." + mark.Kind + "." + mark.Action)
	event.SetSubject(mark.Name)
	event.SetTime(time.Now())
	err = event.SetData(cloudevents.ApplicationJSON, map[string]any{"kind": mark.Kind, "name": mark.Name, "stamp": mark.State, "rev": mark.Revision})
	return event, Class.Wrap(err)
}

func (h *Notifier) run() {
	for mark := range h.queue {
		event, err := h.Event(mark)
		if err == nil {
			ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
			if result := h.client.Send(ctx, event); !cloudevents.IsACK(result) {
				err = Class.Wrap(result)
			}
			cancel()
		}
		if err != nil {
			h.dropped.Add(1)
			h.log.Emit(eventlog.NotificationsDropped, "dropped", h.dropped.Load(), eventlog.KeyError, err.Error())
		}
	}
}
