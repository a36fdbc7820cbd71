// Trace follows one change through all daemons: when it was acknowledged,
// applied, listed, probed or heard at each, by the ages that the daemons tell
// on their own steady clocks, so that no two clocks are compared. From logs it
// has only the written time of day, and says so.
package diagnostics

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"tinpin/internal/controller"
	"tinpin/internal/eventlog"
	"tinpin/internal/history"
	"tinpin/internal/rpc"
)

type tracedChange struct {
	daemon string
	ago    time.Duration
	mark   rpc.TraceEntry
}

// KnownKind tells whether the tracer knows a kind of subject.
func KnownKind(kind string) bool { return slices.Contains(history.Kinds, kind) }

// Trace prints what became of a subject; good tells that every daemon has it
// as the leader has.
func (f *Fleet) Trace(out io.Writer, kind, name string) (good bool, err error) {
	var marks []tracedChange
	var lacks []string
	replies := map[string]rpc.TraceResponse{}
	addresses := make([]string, 0, len(f.addresses))
	for _, address := range f.addresses {
		addresses = append(addresses, address)
	}
	callAll(addresses, rpc.MethodTrace, rpc.TraceRequest{Kind: kind, Name: name}, func(address string, reply rpc.TraceResponse, callErr error) {
		if callErr != nil {
			f.Unreachable = append(f.Unreachable, address)
			return
		}
		replies[reply.Name] = reply
		for _, mark := range reply.Entries {
			marks = append(marks, tracedChange{reply.Name, mark.Age, mark})
		}
	})
	leader := f.Leader()
	if leader == nil {
		return false, Class.New("there is no leader to compare with")
	}
	right := replies[leader.Name]
	if !right.Present && len(marks) == 0 {
		return false, Class.New("no daemon knows a %s named %q", kind, name)
	}
	sort.Slice(marks, func(i, j int) bool { return marks[i].ago > marks[j].ago })
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "%s %s\n\nAFTER\tDAEMON\tWHAT\tSTAMP\tREV\n", kind, name)
	for _, each := range marks {
		rev := ""
		if each.mark.LogIndex > 0 {
			rev = fmt.Sprint(each.mark.LogIndex)
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", (marks[0].ago - each.ago).Round(time.Millisecond), each.daemon, each.mark.Event, each.mark.Summary, rev)
	}
	_, _ = fmt.Fprintf(table, "\nNOW\t%s\tleads\t%s\n", leader.Name, describeState(right))
	names := make([]string, 0, len(replies))
	for daemon := range replies {
		names = append(names, daemon)
	}
	sort.Strings(names)
	for _, daemon := range names {
		reply := replies[daemon]
		core := slices.ContainsFunc(f.Controllers, func(account controller.Status) bool { return account.Name == daemon })
		if daemon == leader.Name || core && (kind == history.Backend || kind == history.Health) {
			continue
		}
		same := reply.Present == right.Present && reply.Summary == right.Summary || reply.LogIndex > 0 && reply.LogIndex == right.LogIndex
		if kind == history.Health {
			same = strings.HasPrefix(reply.Summary, strings.Fields(right.Summary + " ")[0])
		}
		if !same {
			lacks = append(lacks, fmt.Sprintf("%s lacks it: %s", daemon, describeState(reply)))
		}
	}
	for _, line := range lacks {
		_, _ = fmt.Fprintln(table, line)
	}
	for _, address := range f.Unreachable {
		_, _ = fmt.Fprintln(table, "unreachable: "+address)
	}
	if len(lacks) == 0 && len(f.Unreachable) == 0 {
		_, _ = fmt.Fprintln(table, "every daemon has it")
	}
	return len(lacks) == 0 && len(f.Unreachable) == 0, Class.Wrap(table.Flush())
}

func describeState(reply rpc.TraceResponse) (text string) {
	if !reply.Present {
		return "not there"
	}
	return reply.Summary
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

// TraceLogs prints what logs say of a subject.
func TraceLogs(out io.Writer, files []string, kind, name string) (err error) {
	var found []logLine
	for _, path := range files {
		file, openErr := os.Open(path)
		if openErr != nil {
			return Class.Wrap(openErr)
		}
		scanner := bufio.NewScanner(file)
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			text := scanner.Text()
			brace := strings.IndexByte(text, '{')
			if brace < 0 {
				continue
			}
			var read logLine
			if json.Unmarshal([]byte(text[brace:]), &read) == nil && read.Event == int(eventlog.ChangeObserved) && read.Kind == kind && read.Name == name {
				found = append(found, read)
			}
		}
		scanErr := scanner.Err()
		_ = file.Close()
		if scanErr != nil {
			return Class.Wrap(scanErr)
		}
	}
	if len(found) == 0 {
		return Class.New("no log line tells of a %s named %q", kind, name)
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].TS < found[j].TS })
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "%s %s, by the daemons' times of day, which may differ\n\nAT\tDAEMON\tWHAT\tSTAMP\tREV\n", kind, name)
	for _, read := range found {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\n", read.TS, read.Daemon, cmp.Or(read.Change, read.EarlierChange), cmp.Or(read.State, read.EarlierState), cmp.Or(read.Revision, read.EarlierRevision))
	}
	return Class.Wrap(table.Flush())
}
