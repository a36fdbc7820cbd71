// Package notify sends changes to an outside receiver as CloudEvents. It is off
// unless events_url is set. A bounded queue lies between the daemon and the
// receiver: one that is slow or gone costs it the events that do not fit, and
// never the daemon any time. Notify and Dropped may be called by any goroutine;
// one goroutine of its own sends, for as long as the process runs.
package notify

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	cloudevents "github.com/cloudevents/sdk-go/v2"
	cehttp "github.com/cloudevents/sdk-go/v2/protocol/http"

	"tinpin/internal/eventlog"
	"tinpin/internal/history"
)

const (
	queueCapacity = 256
	sendTimeout   = 2 * time.Second
)

// Notifier sends changes to one receiver.
type Notifier struct {
	client cloudevents.Client
	source string
	log    *eventlog.Logger
	// queue is never closed: changes may come until the process ends.
	queue   chan history.Change
	created uint64 // events made, used by the sending goroutine alone
	dropped atomic.Uint64
}

// New makes a notifier for the receiver at an http address, in the name of a
// daemon, and starts to send.
func New(target, daemon string, log *eventlog.Logger) (notifier *Notifier, err error) {
	protocol, err := cloudevents.NewHTTP(
		cloudevents.WithTarget(target), cehttp.WithClient(http.Client{Timeout: sendTimeout}))
	if err != nil {
		return nil, fmt.Errorf("notify: receiver %s: %w", target, err)
	}
	client, err := cloudevents.NewClient(protocol)
	if err != nil {
		return nil, fmt.Errorf("notify: receiver %s: %w", target, err)
	}
	notifier = &Notifier{
		client: client, source: "/tinpin/" + daemon, log: log, queue: make(chan history.Change, queueCapacity),
	}
	go notifier.run()
	return notifier, nil
}

// Notify queues a change, or counts it as dropped.
func (n *Notifier) Notify(change history.Change) {
	select {
	case n.queue <- change:
	default:
		n.dropped.Add(1)
	}
}

// Dropped counts the events that were not delivered.
func (n *Notifier) Dropped() uint64 { return n.dropped.Load() }

func (n *Notifier) run() {
	for change := range n.queue {
		if err := n.send(change); err != nil {
			n.dropped.Add(1)
			n.log.Emit(eventlog.NotificationsDropped, "dropped", n.dropped.Load(), eventlog.KeyError, err.Error())
		}
	}
}

func (n *Notifier) send(change history.Change) (err error) {
	event, err := n.event(change)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if result := n.client.Send(ctx, event); !cloudevents.IsACK(result) {
		return fmt.Errorf("notify: send: %w", result)
	}
	return nil
}

// event is the CloudEvent of a change. Its data fields are what receivers read
// and keep their names.
func (n *Notifier) event(change history.Change) (event cloudevents.Event, err error) {
	n.created++
	event = cloudevents.NewEvent()
	event.SetID(fmt.Sprintf("%d-%d", time.Now().UnixNano(), n.created))
	event.SetSource(n.source)
	event.SetType("tinpin." + change.Kind + "." + change.Action)
	event.SetSubject(change.Name)
	event.SetTime(time.Now())
	err = event.SetData(cloudevents.ApplicationJSON, map[string]any{
		"kind": change.Kind, "name": change.Name, "stamp": change.State, "rev": change.Revision,
	})
	if err != nil {
		return event, fmt.Errorf("notify: encode %s %s: %w", change.Kind, change.Name, err)
	}
	return event, nil
}
