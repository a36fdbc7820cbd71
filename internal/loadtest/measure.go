package loadtest

// Measure sets a system of one size up, lets it settle, measures it for a span
// and takes it down.

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
	ctx, cancel := context.WithTimeout(context.Background(), settleMost+span)
	defer cancel()
	s, err := setUp(ctx, program, folder, size)
	defer s.close()
	if err != nil {
		return point, err
	}
	// What the start brought about dies down.
	time.Sleep(time.Second)
	if _, err = s.await(ctx, "go"); err != nil {
		return point, err
	}
	stop := make(chan struct{})
	changed := make(chan int, 1)
	go func() { changed <- s.keepChanging(ctx, stop) }()
	time.Sleep(time.Second)
	at, before, err := s.leader()
	if err != nil {
		return point, err
	}
	startOut := float64(before.BytesOut) / float64(size.Nodes)
	doneBefore, err := s.await(ctx, "done")
	if err != nil {
		return point, err
	}
	begun := time.Now()
	cores, nodes := usedBy(s.cores), usedBy(s.nodes)
	time.Sleep(span)
	point = Point{Size: size, StartOut: startOut, Seconds: time.Since(begun).Seconds()}
	coresAfter, nodesAfter := usedBy(s.cores), usedBy(s.nodes)
	for i := range cores {
		cpu := (coresAfter[i].seconds - cores[i].seconds) / point.Seconds
		if i == at {
			point.LeaderCPU, point.LeaderMB = cpu, coresAfter[i].mb
		} else {
			point.FollowerCPU, point.FollowerMB = max(point.FollowerCPU, cpu), max(point.FollowerMB, coresAfter[i].mb)
		}
	}
	for i := range nodes {
		point.NodeCPU += (nodesAfter[i].seconds - nodes[i].seconds) / point.Seconds / float64(size.Nodes)
		point.NodeMB += nodesAfter[i].mb / float64(size.Nodes)
	}
	doneAfter, err := s.await(ctx, "done")
	if err != nil {
		return point, err
	}
	close(stop)
	point.Done = (doneAfter - doneBefore) / point.Seconds
	if changes := <-changed; size.Changes > 0 {
		point.Done += float64(changes) / (point.Seconds + 1)
	}
	atNow, after, err := s.leader()
	if err != nil {
		return point, err
	}
	if atNow != at {
		return point, Class.New("the leader changed while it was measured")
	}
	point.LeaderIn = float64(after.BytesIn-before.BytesIn) / point.Seconds
	point.LeaderOut = float64(after.BytesOut-before.BytesOut) / point.Seconds
	point.ChangeMS, err = s.delay(ctx)
	return point, err
}

type use struct{ seconds, mb float64 }

func usedBy(workers []*worker) (uses []use) {
	for _, w := range workers {
		seconds, mb := w.used()
		uses = append(uses, use{seconds, mb})
	}
	return uses
}

// keepChanging sends changes of the configuration at their rate.
func (s *system) keepChanging(ctx context.Context, stop <-chan struct{}) (count int) {
	if s.size.Changes == 0 {
		return 0
	}
	begun := time.Now()
	for {
		due := begun.Add(time.Duration(float64(count+1) / float64(s.size.Changes) * float64(time.Second)))
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

// delay measures from the acknowledgement of a change until every node has it.
func (s *system) delay(ctx context.Context) (ms float64, err error) {
	if err = s.change(ctx); err != nil {
		return 0, err
	}
	begun := time.Now()
	_, account, err := s.leader()
	if err != nil {
		return 0, err
	}
	if _, err = s.await(ctx, "rev "+strconv.FormatUint(account.Revision, 10)); err != nil {
		return 0, err
	}
	return float64(time.Since(begun)) / float64(time.Millisecond), nil
}
