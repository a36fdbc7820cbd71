package loadtest

import (
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
	"time"
)

// The processes of a measurement are this test's own program.
func init() {
	if len(os.Args) != 2 {
		return
	}
	if known, err := RunWorker(os.Args[1], os.Stdin, os.Stdout); known {
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
}

func TestSmallMeasurement(t *testing.T) {
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	size := Size{
		Nodes: 8, Backends: 120, Services: 2, Routes: 6, Tenants: 3,
		Changes: 5, Members: 1, Claims: 60, Reports: 20,
	}
	if err = size.Check(minSpan, 1<<30); err != nil {
		t.Fatal(err)
	}
	point, err := Measure(program, size, minSpan)
	if err != nil {
		t.Fatal(err)
	}
	if point.LeaderIn <= 0 || point.LeaderOut <= 0 || point.StartOut <= 0 || point.ChangeMS <= 0 ||
		point.LeaderMB <= 0 || point.NodeMB <= 0 || point.EventRate < 30 {
		t.Errorf("%+v", point)
	}
}

func TestCheckNamesEveryInvalidSize(t *testing.T) {
	bad := Size{Nodes: 0, Backends: -1, Services: 0, Routes: maxRows + 1, Tenants: -3, Changes: -1, Claims: maxRate + 1}
	err := bad.Check(time.Hour, 1<<30)
	if err == nil {
		t.Fatal("taken")
	}
	for _, name := range []string{"nodes", "backends", "services", "routes", "tenants", "changes", "claims", "span"} {
		if !strings.Contains(err.Error(), name+" must be") {
			t.Errorf("%q does not name %s", err, name)
		}
	}
	large := DefaultSize
	large.Nodes, large.Backends = maxNodes, maxRows
	if err = large.Check(time.Second, 8<<30); err == nil || !strings.Contains(err.Error(), "memory") {
		t.Error(err)
	}
}

func TestFitOf(t *testing.T) {
	fit := FitOf([]float64{1, 2, 3, 4}, []float64{5, 7, 9, 11})
	if math.Abs(fit.Base-3) > 1e-9 || math.Abs(fit.Slope-2) > 1e-9 || fit.Residual > 1e-9 {
		t.Errorf("%+v", fit)
	}
	fit = FitOf([]float64{1, 2, 3}, []float64{0, 3, 0})
	if math.Abs(fit.Slope) > 1e-9 || math.Abs(fit.Residual-2) > 1e-9 {
		t.Errorf("%+v", fit)
	}
}
