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
	ringRoom = 256
	patience = 2 * time.Second
)

// Herald tells of changes.
type Herald struct {
	client  cloudevents.Client
	source  string
	log     *eventlog.Logger
	ring    chan history.Mark
	count   uint64
	dropped atomic.Uint64
}

// New tells a receiver at an http address, in the name of a daemon.
func New(target, daemon string, log *eventlog.Logger) (herald *Herald, err error) {
	protocol, err := cloudevents.NewHTTP(cloudevents.WithTarget(target), cehttp.WithClient(http.Client{Timeout: patience}))
	if err != nil {
		return nil, Class.Wrap(err)
	}
	client, err := cloudevents.NewClient(protocol)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	herald = &Herald{client: client, source: "/tinpin/" + daemon, log: log, ring: make(chan history.Mark, ringRoom)}
	go herald.run()
	return herald, nil
}

// Tell puts a change into the ring, or counts it as dropped.
func (h *Herald) Tell(mark history.Mark) {
	select {
	case h.ring <- mark:
	default:
		h.dropped.Add(1)
	}
}

// Dropped counts the events that were not delivered.
func (h *Herald) Dropped() uint64 { return h.dropped.Load() }

// Event makes the event of a change.
func (h *Herald) Event(mark history.Mark) (event cloudevents.Event, err error) {
	h.count++
	event = cloudevents.NewEvent()
	event.SetID(fmt.Sprintf("%d-%d", time.Now().UnixNano(), h.count))
	event.SetSource(h.source)
	event.SetType("tinpin." + mark.Kind + "." + mark.What)
	event.SetSubject(mark.Name)
	event.SetTime(time.Now())
	err = event.SetData(cloudevents.ApplicationJSON, map[string]any{"kind": mark.Kind, "name": mark.Name, "stamp": mark.Stamp, "rev": mark.Rev})
	return event, Class.Wrap(err)
}

func (h *Herald) run() {
	for mark := range h.ring {
		event, err := h.Event(mark)
		if err == nil {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
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
