package loadtest

// Measure sets up a system of one size, lets it settle, measures it for a span and stops it.

import (
	"context"
	"os"
	"strconv"
	"time"
)

// Measure gives the point of a size.
func Measure(program string, size Size, span time.Duration) (point Point, err error) {
	folder, err := os.MkdirTemp("", "tinpin-load-")
	if err != nil {
		return point, Class.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout+span)
	defer cancel()
	s, err := setUp(ctx, program, folder, size)
	defer s.close()
	if err != nil {
		return point, err
	}
	return s.measure(ctx, span)
}

// measure starts the load of a system that is set up and measures a span of it.
func (s *system) measure(ctx context.Context, span time.Duration) (point Point, err error) {
	// Let the work of the start-up settle.
	time.Sleep(time.Second)
	if _, err = s.broadcast(ctx, "go"); err != nil {
		return point, err
	}
	stop := make(chan struct{})
	changed := make(chan int, 1)
	go func() { changed <- s.keepChanging(ctx, stop) }()
	time.Sleep(time.Second)
	leader, before, err := s.leader()
	if err != nil {
		return point, err
	}
	doneBefore, err := s.broadcast(ctx, "done")
	if err != nil {
		return point, err
	}
	point = s.measureUsage(span, leader)
	point.StartOut = float64(before.BytesOut) / float64(s.size.Nodes)
	doneAfter, err := s.broadcast(ctx, "done")
	if err != nil {
		return point, err
	}
	close(stop)
	point.EventRate = (doneAfter - doneBefore) / point.Seconds
	if changes := <-changed; s.size.Changes > 0 {
		point.EventRate += float64(changes) / (point.Seconds + 1)
	}
	leaderNow, after, err := s.leader()
	if err != nil {
		return point, err
	}
	if leaderNow != leader {
		return point, Class.New("the leader changed while it was measured")
	}
	point.LeaderIn = float64(after.BytesIn-before.BytesIn) / point.Seconds
	point.LeaderOut = float64(after.BytesOut-before.BytesOut) / point.Seconds
	point.ChangeMS, err = s.changeDelay(ctx)
	return point, err
}

// measureUsage lets a span pass and gives what the processes used in it; leader is the index of
// the leading controller.
func (s *system) measureUsage(span time.Duration, leader int) (point Point) {
	started := time.Now()
	controllers, nodes := usageOf(s.controllers), usageOf(s.nodes)
	time.Sleep(span)
	point = Point{Size: s.size, Seconds: time.Since(started).Seconds()}
	controllersAfter, nodesAfter := usageOf(s.controllers), usageOf(s.nodes)
	for i, after := range controllersAfter {
		cpu := (after.seconds - controllers[i].seconds) / point.Seconds
		if i == leader {
			point.LeaderCPU, point.LeaderMB = cpu, after.mb
		} else {
			point.FollowerCPU, point.FollowerMB = max(point.FollowerCPU, cpu), max(point.FollowerMB, after.mb)
		}
	}
	nodeCount := float64(s.size.Nodes)
	for i, after := range nodesAfter {
		point.NodeCPU += (after.seconds - nodes[i].seconds) / point.Seconds / nodeCount
		point.NodeMB += after.mb / nodeCount
	}
	return point
}

type usage struct{ seconds, mb float64 }

func usageOf(workers []*worker) (uses []usage) {
	for _, w := range workers {
		seconds, mb := w.usage()
		uses = append(uses, usage{seconds, mb})
	}
	return uses
}

// keepChanging sends changes of the configuration at their rate.
func (s *system) keepChanging(ctx context.Context, stop <-chan struct{}) (count int) {
	if s.size.Changes == 0 {
		return 0
	}
	started := time.Now()
	for {
		due := started.Add(time.Duration(float64(count+1) / float64(s.size.Changes) * float64(time.Second)))
		select {
		case <-stop:
			return count
		case <-ctx.Done():
			return count
		case <-time.After(time.Until(due)):
		}
		if s.change(ctx) != nil {
			return count
		}
		count++
	}
}

// changeDelay measures from the acknowledgement of a change until every node has it.
func (s *system) changeDelay(ctx context.Context) (ms float64, err error) {
	if err = s.change(ctx); err != nil {
		return 0, err
	}
	started := time.Now()
	_, status, err := s.leader()
	if err != nil {
		return 0, err
	}
	if _, err = s.broadcast(ctx, "rev "+strconv.FormatUint(status.Revision, 10)); err != nil {
		return 0, err
	}
	return float64(time.Since(started)) / float64(time.Millisecond), nil
}
