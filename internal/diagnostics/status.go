package diagnostics

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"tinpin/internal/controller"
)

// table prints rows of cells in columns.
type table struct{ writer *tabwriter.Writer }

func newTable(out io.Writer) table { return table{tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)} }

func (t table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(t.writer, strings.TrimRight(strings.Join(texts, "\t"), "\t"))
}

// Status prints the fleet; good tells that all is reachable and led.
func (f *Fleet) Status(out io.Writer, asJSON bool) (good bool, err error) {
	leader := f.Leader()
	good = leader != nil && len(f.Unreachable) == 0
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return good, encoder.Encode(f)
	}
	t := newTable(out)
	f.printControllers(t)
	switch {
	case leader == nil:
		t.row("no leader")
	case leader.Coordinator != nil:
		f.printNodes(t, leader)
		printLeaderState(t, leader)
	}
	for _, daemon := range f.Unreachable {
		t.row("unreachable: " + daemon)
	}
	return good, t.writer.Flush()
}

func (f *Fleet) printControllers(t table) {
	t.row("CONTROLLER", "LEADS", "TERM", "REVISION", "KEYS", "VOTERS")
	for _, status := range f.Controllers {
		voters := 0
		for _, member := range status.Members {
			if member.Voter {
				voters++
			}
		}
		t.row(status.Name, status.IsLeader, status.Term, status.Revision, status.Claims, voters)
	}
}

func (f *Fleet) printNodes(t table, leader *controller.Status) {
	t.row("")
	t.row("NODE", "ZONE", "READY", "CONNECTED", "REVISION", "IN FLIGHT", "PROBES")
	for _, node := range leader.Coordinator.Nodes {
		revision, inFlight, probes := any("?"), any("?"), "?"
		for _, status := range f.Nodes {
			if status.Name == node.Name {
				revision, inFlight, probes = status.Revision, status.InFlight, strings.Join(status.Probes, ",")
			}
		}
		t.row(node.Name, node.Zone, node.Ready, node.Connected, revision, inFlight, probes)
	}
}

// printLeaderState prints what the leader alone knows: owners of services,
// granted leases, and the endpoint list.
func printLeaderState(t table, leader *controller.Status) {
	state := leader.Coordinator
	t.row("")
	t.row("SERVICE", "OWNER", fmt.Sprintf("MAP %d OF %d", state.ShardMapVersion, len(state.ShardMapMembers)))
	for _, service := range slices.Sorted(maps.Keys(state.Owners)) {
		t.row(service, state.Owners[service])
	}
	t.row("")
	t.row("LIMIT", "GRANTED")
	for _, grant := range state.Granted {
		t.row(grant.Limit, fmt.Sprintf("%.3f", grant.Granted))
	}
	t.row("")
	t.row("BACKENDS", state.Backends, "DOWN", state.Down)
}
