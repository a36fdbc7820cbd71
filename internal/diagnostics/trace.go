package diagnostics

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"tinpin/internal/controller"
	"tinpin/internal/eventlog"
	"tinpin/internal/history"
	"tinpin/internal/rpc"
)

// A trace follows one change through all daemons: when it was acknowledged,
// applied, listed, probed or received at each, by the ages that the daemons tell
// on their own steady clocks, so that no two clocks are compared. From logs it
// has only the written time of day, and says so.

type tracedChange struct {
	daemon string
	entry  rpc.TraceEntry
}

// KnownKind tells whether the tracer knows a kind of subject.
func KnownKind(kind string) bool { return slices.Contains(history.Kinds, kind) }

// Trace prints what became of a subject; good tells that every daemon has it
// as the leader has.
func (f *Fleet) Trace(out io.Writer, kind, name string) (good bool, err error) {
	responses, changes := f.collectTrace(kind, name)
	leader := f.Leader()
	if leader == nil {
		return false, fmt.Errorf("trace %s %q: %w", kind, name, ErrNoLeader)
	}
	atLeader := responses[leader.Name]
	if !atLeader.Present && len(changes) == 0 {
		return false, fmt.Errorf("trace: no daemon knows a %s named %q: %w", kind, name, ErrUnknown)
	}
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(writer, "%s %s\n\n", kind, name)
	printChanges(writer, changes)
	_, _ = fmt.Fprintf(writer, "\nNOW\t%s\tleads\t%s\n", leader.Name, describeState(atLeader))
	lagging := f.lagging(kind, leader.Name, responses)
	for _, daemon := range lagging {
		_, _ = fmt.Fprintf(writer, "%s lacks it: %s\n", daemon, describeState(responses[daemon]))
	}
	for _, address := range f.Unreachable {
		_, _ = fmt.Fprintln(writer, "unreachable: "+address)
	}
	good = len(lagging) == 0 && len(f.Unreachable) == 0
	if good {
		_, _ = fmt.Fprintln(writer, "every daemon has it")
	}
	return good, writer.Flush()
}

// collectTrace asks all daemons for what they remember of a subject: each
// response by the daemon's name, and all changes, oldest first.
func (f *Fleet) collectTrace(kind, name string) (responses map[string]rpc.TraceResponse, changes []tracedChange) {
	responses = map[string]rpc.TraceResponse{}
	addresses := make([]string, 0, len(f.addresses))
	for _, address := range f.addresses {
		addresses = append(addresses, address)
	}
	request := rpc.TraceRequest{Kind: kind, Name: name}
	callAll(addresses, rpc.MethodTrace, request, func(address string, response rpc.TraceResponse, err error) {
		if err != nil {
			f.Unreachable = append(f.Unreachable, address)
			return
		}
		responses[response.Name] = response
		for _, entry := range response.Entries {
			changes = append(changes, tracedChange{response.Name, entry})
		}
	})
	slices.SortFunc(changes, func(a, b tracedChange) int { return cmp.Compare(b.entry.Age, a.entry.Age) })
	return responses, changes
}

func printChanges(out io.Writer, changes []tracedChange) {
	_, _ = fmt.Fprintln(out, "AFTER\tDAEMON\tCHANGE\tSTATE\tREVISION")
	for _, change := range changes {
		revision := ""
		if change.entry.LogIndex > 0 {
			revision = fmt.Sprint(change.entry.LogIndex)
		}
		after := (changes[0].entry.Age - change.entry.Age).Round(time.Millisecond)
		_, _ = fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\n",
			after, change.daemon, change.entry.Event, change.entry.Summary, revision)
	}
}

// lagging lists the daemons that do not have a subject as the leader has it.
// Backends and their health are known to the leader and the nodes only.
func (f *Fleet) lagging(kind, leader string, responses map[string]rpc.TraceResponse) (daemons []string) {
	for daemon, response := range responses {
		isController := slices.ContainsFunc(f.Controllers, func(status controller.Status) bool {
			return status.Name == daemon
		})
		if daemon == leader || isController && (kind == history.Backend || kind == history.Health) {
			continue
		}
		if !sameState(kind, response, responses[leader]) {
			daemons = append(daemons, daemon)
		}
	}
	slices.Sort(daemons)
	return daemons
}

func sameState(kind string, response, atLeader rpc.TraceResponse) (same bool) {
	if kind == history.Health {
		// The first word is the health; what follows is the daemon's own view.
		return strings.HasPrefix(response.Summary, strings.Fields(atLeader.Summary + " ")[0])
	}
	return response.Present == atLeader.Present && response.Summary == atLeader.Summary ||
		response.LogIndex > 0 && response.LogIndex == atLeader.LogIndex
}

func describeState(response rpc.TraceResponse) (text string) {
	if !response.Present {
		return "not there"
	}
	return response.Summary
}

// logLine is the part of a log line that the tracer reads. The earlier names
// are those of the release before, whose logs are read as well.
type logLine struct {
	TS              string `json:"ts"`
	Daemon          string `json:"daemon"`
	Event           int    `json:"event"`
	Kind            string `json:"kind"`
	Name            string `json:"name"`
	Change          string `json:"change"`
	State           string `json:"state"`
	Revision        uint64 `json:"revision"`
	EarlierChange   string `json:"what"`
	EarlierState    string `json:"stamp"`
	EarlierRevision uint64 `json:"rev"`
}

// TraceLogs prints what log files say of a subject.
func TraceLogs(out io.Writer, files []string, kind, name string) (err error) {
	var found []logLine
	for _, path := range files {
		if found, err = appendLogLines(found, path, kind, name); err != nil {
			return fmt.Errorf("trace: %w", err)
		}
	}
	if len(found) == 0 {
		return fmt.Errorf("trace: no log line tells of a %s named %q: %w", kind, name, ErrUnknown)
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return cmp.Compare(a.TS, b.TS) })
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(writer, "%s %s, by the daemons' times of day, which may differ\n\n", kind, name)
	_, _ = fmt.Fprintln(writer, "AT\tDAEMON\tCHANGE\tSTATE\tREVISION")
	for _, line := range found {
		_, _ = fmt.Fprintf(writer, "%s\t%s\t%s\t%s\t%d\n",
			line.TS, line.Daemon, cmp.Or(line.Change, line.EarlierChange),
			cmp.Or(line.State, line.EarlierState), cmp.Or(line.Revision, line.EarlierRevision))
	}
	return writer.Flush()
}

// appendLogLines adds the lines of a file that tell of a subject. What stands
// before the JSON of a line, such as a collector's own time, is left out.
func appendLogLines(found []logLine, path, kind, name string) (extended []logLine, err error) {
	file, err := os.Open(path)
	if err != nil {
		return found, err
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		brace := bytes.IndexByte(text, '{')
		if brace < 0 {
			continue
		}
		var line logLine
		if json.Unmarshal(text[brace:], &line) != nil || line.Event != int(eventlog.ChangeObserved) {
			continue
		}
		if line.Kind == kind && line.Name == name {
			found = append(found, line)
		}
	}
	return found, scanner.Err()
}

// maxLogLine is the longest line that is read, in bytes.
const maxLogLine = 1 << 20
