// Package controller is the controller role put together: one member of the
// controllers' group with its disk, the handler for nodes' calls, a coordinator
// while this controller leads, and the operator's API on them. Consensus, what a
// leader does in its term, and the HTTP server are other packages' business.
//
// Exported methods and the API's handlers may be called from any goroutine.
package controller

import (
	"net/http"
	"time"

	"tinpin/internal/coordinator"
	"tinpin/internal/eventlog"
	"tinpin/internal/history"
	"tinpin/internal/httpapi"
	"tinpin/internal/node"
	"tinpin/internal/notify"
	"tinpin/internal/raft"
	"tinpin/internal/rpc"
	"tinpin/internal/settings"
	"tinpin/internal/shutdown"
)

// proposalTimeout is how long an operator's call waits for the outcome of its
// proposal before that is unclear; the callers give up after a second.
const proposalTimeout = 900 * time.Millisecond

// Controller is a running controller.
type Controller struct {
	settings settings.Settings
	log      *eventlog.Logger
	node     *node.Node
	// nodeCalls answers the nodes, and holds the coordinator while this one leads.
	nodeCalls       *coordinator.Handler
	proposalTimeout time.Duration
	shutdown        *shutdown.Sequence

	internalListener *rpc.Server
	apiServer        *http.Server
	// metricsServer is nil where no figures are served.
	metricsServer *http.Server
}

// Start opens the disk and the listeners and begins to work.
func Start(p settings.Settings, log *eventlog.Logger) (c *Controller, err error) {
	raftNode, err := node.OpenNode(p, log)
	if err != nil {
		return nil, err
	}
	c = &Controller{
		settings: p, log: log, node: raftNode, proposalTimeout: proposalTimeout,
		nodeCalls: coordinator.NewHandler(raftNode, raftNode),
		shutdown:  shutdown.New(ShutdownTimeline(p.Bounds.GracePeriod)),
	}
	raftNode.OnLeadership = c.roleChanged
	raftNode.OnChange = c.stateChanged
	if p.EventsURL != "" {
		if err = c.notifyOfChanges(); err != nil {
			return nil, err
		}
	}
	if err = c.listen(); err != nil {
		return nil, err
	}
	c.metricsServer = httpapi.ServeMetrics(p.MetricsAddress, c.metrics(), log)
	raftNode.Run()
	return c, nil
}

// roleChanged starts a coordinator for a term that this controller leads, and
// closes that of the term before.
func (c *Controller) roleChanged(leads bool, term raft.Term) {
	var started *coordinator.Coordinator
	if leads {
		started = coordinator.Start(c.settings, c.log, c.node, term)
	}
	c.replaceCoordinator(started)
}

func (c *Controller) replaceCoordinator(next *coordinator.Coordinator) {
	if old := c.nodeCalls.SetCoordinator(next); old != nil {
		old.Close()
	}
}

func (c *Controller) stateChanged() {
	if current := c.nodeCalls.Coordinator(); current != nil {
		current.StateChanged()
	}
}

// notifyOfChanges sends CloudEvents of changes. Each change is sent once, by the
// controller that leads when it is applied.
func (c *Controller) notifyOfChanges() (err error) {
	notifier, err := notify.New(c.settings.EventsURL, c.settings.Name, c.log)
	if err != nil {
		return err
	}
	c.node.History.OnChange = func(change history.Change) {
		if change.Action != changeAcknowledged && c.nodeCalls.Coordinator() != nil {
			notifier.Notify(change)
		}
	}
	return nil
}

// listen opens the listeners for nodes and other controllers, and for operators.
func (c *Controller) listen() (err error) {
	// The names of the receivers are those on the wire, frozen in package rpc.
	if c.internalListener, err = rpc.Serve(c.settings.ControllerInternalAddress(), map[string]any{
		"Accord": c.node.Service(), "Forum": c.nodeCalls, "Status": &StatusHandler{c},
	}); err != nil {
		return err
	}
	c.apiServer, err = httpapi.Serve(c.settings.ControlAddress, httpapi.Handlers{
		UpdateConfig: c.updateConfig, DescribeConfig: c.describeConfig, Evacuate: c.evacuate,
		SetDocument: c.setDocument, WithdrawDocument: c.withdrawDocument, ShowDocument: c.showDocument,
		RetireBackend: c.retireBackend,
	})
	return err
}

// Reload takes changed settings up: only the seeds may change while it runs.
func (c *Controller) Reload(p settings.Settings) { c.node.SetSeeds(p.Seeds) }
