package adminclient

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"tinpin/internal/controller"
	"tinpin/internal/coordinator"
)

// printDocument writes how a document and what it governs stand, and then the
// document where it is in force.
func printDocument(out io.Writer, status controller.DocumentStatus) (err error) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	state := "in force"
	if !status.InForce {
		state = "not in force"
	}
	_, _ = fmt.Fprintf(table, "%s\tversion %d\t%s\n", status.Kind, status.Version, state)
	for _, retirement := range status.Retirements {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d of %d follow\t%s %s\n",
			retirement.Backend, retirement.Service, retirement.Phase,
			retirement.Confirmed, retirement.Nodes, retirement.Reason, strings.Join(retirement.Missing, ","))
	}
	if status.Sessions != nil {
		printSessions(table, status.Sessions)
	}
	for _, limit := range status.Retries {
		printRetryLimit(table, limit)
	}
	if status.Step > 0 {
		_, _ = fmt.Fprintf(table, "step\t%d\n", status.Step)
	}
	for _, target := range status.Targets {
		_, _ = fmt.Fprintf(table, "%s\tnow %v\twanted %v\t%s\n",
			target.Target, target.Now, target.Wanted, target.Waiting)
	}
	if err = table.Flush(); err != nil || !status.InForce {
		return err
	}
	_, err = fmt.Fprintln(out, string(status.Document))
	return err
}

func printSessions(table io.Writer, sessions *coordinator.SessionStatus) {
	for _, service := range sessions.Services {
		_, _ = fmt.Fprintf(table, "%s\tby %s\tidle %s\t%d of %d sessions\n",
			service.Service, service.Source, service.Idle, service.Sessions, service.Limit)
	}
	_, _ = fmt.Fprintf(table, "moved %d\tdropped for want of room %d\trefused %d\n",
		sessions.Moved, sessions.Evicted, sessions.Rejected)
}

func printRetryLimit(table io.Writer, limit coordinator.RetryStatus) {
	everywhere := "holds"
	if !limit.InForceEverywhere {
		everywhere = "does not hold everywhere yet"
	}
	_, _ = fmt.Fprintf(table, "%s\tratio %g\tleast %g/s in %s\tlent %.3f\t%d of %d follow\t%s %s\n",
		limit.Service, limit.Ratio,
		limit.MinPerSecond, limit.Window, limit.Granted, limit.Followers, limit.Nodes,
		everywhere, strings.Join(limit.Missing, ","))
}
