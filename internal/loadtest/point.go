package loadtest

// Point is what one measurement gave, Fit a straight line through several.

import "math"

// Point of one size.
type Point struct {
	Variable string  `json:"variable"`
	Size     Size    `json:"size"`
	Seconds  float64 `json:"seconds"`
	// Processor seconds a second of the leader, of the busiest other controller, and of
	// one node; memory in MB, of a node's process divided by its nodes.
	LeaderCPU   float64 `json:"leader_cpu"`
	FollowerCPU float64 `json:"follower_cpu"`
	NodeCPU     float64 `json:"node_cpu"`
	LeaderMB    float64 `json:"leader_mb"`
	FollowerMB  float64 `json:"follower_mb"`
	NodeMB      float64 `json:"node_mb"`
	// Bytes a second of internal calls at the leader.
	LeaderIn  float64 `json:"leader_in"`
	LeaderOut float64 `json:"leader_out"`
	// StartOut is what the leader sent until all nodes had all, for each node.
	StartOut float64 `json:"start_out"`
	// ChangeMS is from the acknowledgement of a change until every node has it.
	ChangeMS float64 `json:"change_ms"`
	// EventRate is how many of the rates' events were carried out a second.
	EventRate float64 `json:"done"`
}

// Fit is y = Base + Slope x, with the largest distance of a point from it.
type Fit struct {
	Base     float64 `json:"base"`
	Slope    float64 `json:"slope"`
	Residual float64 `json:"residual"`
}

// FitOf fits by least squares.
func FitOf(x, y []float64) (fit Fit) {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx, sy, sxx, sxy = sx+x[i], sy+y[i], sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	if spread := n*sxx - sx*sx; spread > 0 {
		fit.Slope = (n*sxy - sx*sy) / spread
	}
	if n > 0 {
		fit.Base = (sy - fit.Slope*sx) / n
	}
	for i := range x {
		fit.Residual = max(fit.Residual, math.Abs(y[i]-fit.Base-fit.Slope*x[i]))
	}
	return fit
}

// Figure is one of a point's.
type Figure struct {
	Name string
	Of   func(point Point) float64
}

// Figures lists them.
var Figures = []Figure{
	{"leader_cpu", func(p Point) float64 { return p.LeaderCPU }},
	{"leader_mb", func(p Point) float64 { return p.LeaderMB }},
	{"follower_cpu", func(p Point) float64 { return p.FollowerCPU }},
	{"follower_mb", func(p Point) float64 { return p.FollowerMB }},
	{"node_cpu", func(p Point) float64 { return p.NodeCPU }},
	{"node_mb", func(p Point) float64 { return p.NodeMB }},
	{"leader_in", func(p Point) float64 { return p.LeaderIn }},
	{"leader_out", func(p Point) float64 { return p.LeaderOut }},
	{"start_out", func(p Point) float64 { return p.StartOut }},
	{"change_ms", func(p Point) float64 { return p.ChangeMS }},
}

// Fits fits each figure over one variable.
func Fits(name string, points []Point) (fits map[string]Fit) {
	fits = map[string]Fit{}
	x := make([]float64, len(points))
	for i := range points {
		x[i] = float64(*points[i].Size.At(name))
	}
	for _, figure := range Figures {
		y := make([]float64, len(points))
		for i := range points {
			y[i] = figure.Of(points[i])
		}
		fits[figure.Name] = FitOf(x, y)
	}
	return fits
}
