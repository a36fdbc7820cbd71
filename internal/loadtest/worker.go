package loadtest

// The commands of the processes that a measurement starts: "core" runs one controller, "nodes"
// many stub nodes. Each reads its task as one line, then commands, and ends with its input.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"tinpin/internal/controller"
	"tinpin/internal/eventlog"
	"tinpin/internal/proxy"
	"tinpin/internal/rpc"
	"tinpin/internal/settings"
)

const pollPause = 2 * time.Millisecond

// RunWorker does what a process is for; known tells that there is such a word.
func RunWorker(command string, in io.Reader, out io.Writer) (known bool, err error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	switch command {
	case "core":
		return true, runController(lines)
	case "nodes":
		return true, runNodes(lines, out)
	}
	return false, nil
}

func readTask(lines *bufio.Scanner, into any) (err error) {
	if !lines.Scan() {
		return Class.New("no task was given")
	}
	return Class.Wrap(json.Unmarshal(lines.Bytes(), into))
}

func runController(lines *bufio.Scanner) (err error) {
	var config settings.Settings
	if err = readTask(lines, &config); err != nil {
		return err
	}
	process, err := controller.Start(config, eventlog.Discard())
	if err != nil {
		return err
	}
	for lines.Scan() {
	}
	process.Stop()
	return nil
}

func runNodes(lines *bufio.Scanner, out io.Writer) (err error) {
	var t nodesTask
	if err = readTask(lines, &t); err != nil {
		return err
	}
	nodes := make([]atomic.Pointer[proxy.StubNode], t.Count)
	begin := func(i int) {
		config := t.Settings
		config.Name = fmt.Sprintf("node-%05d", t.First+i)
		config.Zone = fmt.Sprint("z", (t.First+i)%3)
		config.Region = config.ZoneRegions[config.Zone]
		nodes[i].Store(proxy.StartStubNode(config, rpc.Incarnation(rand.Uint64())))
	}
	for i := range nodes {
		begin(i)
		if i%20 == 19 {
			// They do not all come in the same instant.
			time.Sleep(10 * time.Millisecond)
		}
	}
	var done atomic.Int64
	ended := make(chan struct{})
	defer close(ended)
	every := func(rate float64, do func(n int)) {
		if rate <= 0 {
			return
		}
		ticker := time.NewTicker(10 * time.Millisecond)
		defer ticker.Stop()
		started, n := time.Now(), 0
		for {
			select {
			case <-ended:
				return
			case <-ticker.C:
			}
			for owed := int(rate * time.Since(started).Seconds()); n < owed; n++ {
				do(n)
			}
		}
	}
	for lines.Scan() {
		command, value, _ := strings.Cut(lines.Text(), " ")
		switch command {
		case "listed":
			for i := range nodes {
				for !nodes[i].Load().Known().EndpointsComplete {
					time.Sleep(pollPause)
				}
			}
			_, _ = fmt.Fprintln(out, 0)
		case "go":
			go every(t.Members, func(n int) {
				i := rand.Intn(len(nodes))
				nodes[i].Load().Stop()
				begin(i)
				done.Add(1)
			})
			go every(t.Claims, func(n int) {
				node := nodes[n%len(nodes)].Load()
				go func() {
					if node.Claim(fmt.Sprint(t.First, "-", n, "-", rand.Uint64())) {
						done.Add(1)
					}
				}()
			})
			go every(t.Reports, func(n int) {
				node, backend := nodes[n%len(nodes)].Load(), n%t.Size.Backends
				go func() {
					if node.Report(rpc.ServiceName(serviceName(backend%t.Size.Services)), rpc.EndpointID(backendName(backend)), rpc.Healthy+rpc.Health(n/t.Size.Backends%2)) {
						done.Add(1)
					}
				}()
			})
			_, _ = fmt.Fprintln(out, 0)
		case "done":
			_, _ = fmt.Fprintln(out, done.Load())
		case "rev":
			rev, _ := strconv.ParseUint(value, 10, 64)
			started := time.Now()
			for i := range nodes {
				for nodes[i].Load().Known().LogIndex < rev {
					time.Sleep(pollPause)
				}
			}
			_, _ = fmt.Fprintln(out, float64(time.Since(started))/float64(time.Millisecond))
		}
	}
	return nil
}
