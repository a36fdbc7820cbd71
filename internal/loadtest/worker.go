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
	process.Stop(time.Now())
	return nil
}

func runNodes(lines *bufio.Scanner, out io.Writer) (err error) {
	var task nodesTask
	if err = readTask(lines, &task); err != nil {
		return err
	}
	p := &nodesProcess{
		nodesTask: task,
		nodes:     make([]atomic.Pointer[proxy.StubNode], task.Count),
		ended:     make(chan struct{}),
	}
	defer close(p.ended)
	for i := range p.nodes {
		p.startNode(i)
		if i%20 == 19 {
			// They do not all come in the same instant.
			time.Sleep(10 * time.Millisecond)
		}
	}
	for lines.Scan() {
		p.execute(lines.Text(), out)
	}
	return nil
}

// nodesProcess is a process of stub nodes. Its commands are executed one after another; the
// load that "go" starts runs beside them until runNodes closes ended.
type nodesProcess struct {
	nodesTask
	nodes []atomic.Pointer[proxy.StubNode]
	// done counts the operations of the load that succeeded.
	done  atomic.Int64
	ended chan struct{}
}

// startNode starts the stub node at an index; one that was there has been stopped.
func (p *nodesProcess) startNode(i int) {
	config := p.Settings
	config.Name = fmt.Sprintf("node-%05d", p.First+i)
	config.Zone = fmt.Sprint("z", (p.First+i)%3)
	config.Region = config.ZoneRegions[config.Zone]
	p.nodes[i].Store(proxy.StartStubNode(config, rpc.Incarnation(rand.Uint64())))
}

// execute carries out one command and prints its figure.
func (p *nodesProcess) execute(line string, out io.Writer) {
	command, value, _ := strings.Cut(line, " ")
	switch command {
	case "listed":
		p.awaitNodes(func(node *proxy.StubNode) bool { return node.Known().EndpointsComplete })
		_, _ = fmt.Fprintln(out, 0)
	case "go":
		go p.repeat(p.Members, p.restartNode)
		go p.repeat(p.Claims, p.claimKey)
		go p.repeat(p.Reports, p.reportHealth)
		_, _ = fmt.Fprintln(out, 0)
	case "done":
		_, _ = fmt.Fprintln(out, p.done.Load())
	case "rev":
		rev, _ := strconv.ParseUint(value, 10, 64)
		started := time.Now()
		p.awaitNodes(func(node *proxy.StubNode) bool { return node.Known().LogIndex >= rev })
		_, _ = fmt.Fprintln(out, float64(time.Since(started))/float64(time.Millisecond))
	}
}

// awaitNodes returns once each node was seen to fulfil a condition.
func (p *nodesProcess) awaitNodes(fulfilled func(node *proxy.StubNode) bool) {
	for i := range p.nodes {
		for !fulfilled(p.nodes[i].Load()) {
			time.Sleep(pollPause)
		}
	}
}

// repeat calls do with rising numbers from 0, rate times a second, until the process ends.
func (p *nodesProcess) repeat(rate float64, do func(n int)) {
	if rate <= 0 {
		return
	}
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	started, n := time.Now(), 0
	for {
		select {
		case <-p.ended:
			return
		case <-ticker.C:
		}
		for owed := int(rate * time.Since(started).Seconds()); n < owed; n++ {
			do(n)
		}
	}
}

// restartNode starts a random node anew.
func (p *nodesProcess) restartNode(int) {
	i := rand.Intn(len(p.nodes))
	p.nodes[i].Load().Stop()
	p.startNode(i)
	p.done.Add(1)
}

// claimKey lets one node claim a new key and does not wait for it.
func (p *nodesProcess) claimKey(n int) {
	node := p.nodes[n%len(p.nodes)].Load()
	go func() {
		if node.Claim(fmt.Sprint(p.First, "-", n, "-", rand.Uint64())) {
			p.done.Add(1)
		}
	}()
}

// reportHealth lets one node report that a backend changed its health and does not wait for it.
func (p *nodesProcess) reportHealth(n int) {
	node, backend := p.nodes[n%len(p.nodes)].Load(), n%p.Size.Backends
	go func() {
		service := rpc.ServiceName(serviceName(backend % p.Size.Services))
		health := rpc.Healthy + rpc.Health(n/p.Size.Backends%2)
		if node.Report(service, rpc.EndpointID(backendName(backend)), health) {
			p.done.Add(1)
		}
	}()
}
