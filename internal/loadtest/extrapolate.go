package loadtest

// Extrapolation combines measured slopes for a size that no machine here could run: each
// figure is what it was at the default size and, for each variable, its slope times what the
// target has more. Products of two variables are left out; docs/CAPACITY.md says where they
// matter.

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Sweep is one variable's measurement as tinpin-load printed it.
type Sweep struct {
	Commit string         `json:"commit"`
	Points []Point        `json:"points"`
	Fits   map[string]Fit `json:"fits"`
}

// Sweeps reads them all from a folder; the fits are made anew from the points.
func Sweeps(folder string) (sweeps map[string]Sweep, err error) {
	sweeps = map[string]Sweep{}
	for _, name := range Names {
		data, readErr := os.ReadFile(filepath.Join(folder, name+".json"))
		if readErr != nil {
			return nil, Class.Wrap(readErr)
		}
		var sweep Sweep
		if err = json.Unmarshal(data, &sweep); err != nil {
			return nil, Class.Wrap(err)
		}
		if len(sweep.Points) < 4 {
			return nil, Class.New("%s has %d points, four are needed", name, len(sweep.Points))
		}
		sweep.Fits = Fits(name, sweep.Points)
		sweeps[name] = sweep
	}
	return sweeps, nil
}

// Target is a size to extrapolate to.
type Target struct {
	Name string
	Size Size
}

// Targets are the whole size to design for under one group of controllers, as today,
// and one cell of eleven under the plan: its share of the nodes, and of backends,
// services, routes and tenants twice its share, since hosts overlap; its share of
// the changes, and no keyed claims.
var Targets = []Target{
	{"one group", Size{
		Nodes: 14_000, Backends: 110_000, Services: 2_400, Routes: 110_000, Tenants: 350_000,
		Changes: 1, Members: 1, Claims: 1_035_000, Reports: 3,
	}},
	{"one cell of 11", Size{
		Nodes: 1_273, Backends: 20_000, Services: 436, Routes: 20_000, Tenants: 63_636,
		Changes: 1, Members: 1, Claims: 0, Reports: 1,
	}},
}

// Extrapolation is one figure of a target.
type Extrapolation struct {
	Figure string
	Base   float64
	Parts  map[string]float64
	Total  float64
}

// Extrapolate estimates a figure for a target.
func Extrapolate(sweeps map[string]Sweep, figure string, target Size) (extrapolation Extrapolation) {
	extrapolation = Extrapolation{Figure: figure, Parts: map[string]float64{}}
	base := DefaultSize
	fit := sweeps["nodes"].Fits[figure]
	extrapolation.Base = fit.Base + fit.Slope*float64(base.Nodes)
	extrapolation.Total = extrapolation.Base
	for _, name := range Names {
		part := sweeps[name].Fits[figure].Slope * float64(*target.At(name)-*base.At(name))
		extrapolation.Parts[name] = part
		extrapolation.Total += part
	}
	return extrapolation
}

// Table is the page's: slopes with their residuals and largest run, then totals.
func Table(sweeps map[string]Sweep) (text string) {
	var out strings.Builder
	line := func(cells ...string) { _, _ = fmt.Fprintln(&out, "| "+strings.Join(cells, " | ")+" |") }
	header := []string{"slope of, for one more of"}
	rule := []string{"---"}
	for _, figure := range Figures {
		header, rule = append(header, figure.Name), append(rule, "---")
	}
	line(header...)
	line(rule...)
	for _, name := range Names {
		points := sweeps[name].Points
		row := []string{fmt.Sprintf("%s (up to %d)", name, *points[len(points)-1].Size.At(name))}
		for _, figure := range Figures {
			fit := sweeps[name].Fits[figure.Name]
			row = append(row, fmt.Sprintf("%.3g ± %.2g", fit.Slope, fit.Residual))
		}
		line(row...)
	}
	for _, target := range Targets {
		_, _ = fmt.Fprintf(&out, "\nReckoned for %s:\n\n", target.Name)
		line(append([]string{"figure", "usual size"}, append(append([]string{}, Names...), "total")...)...)
		line(strings.Split("---"+strings.Repeat("|---", len(Names)+2), "|")...)
		for _, figure := range Figures {
			extrapolation := Extrapolate(sweeps, figure.Name, target.Size)
			row := []string{figure.Name, fmt.Sprintf("%.3g", extrapolation.Base)}
			for _, name := range Names {
				row = append(row, fmt.Sprintf("%.3g", extrapolation.Parts[name]))
			}
			line(append(row, fmt.Sprintf("%.4g", extrapolation.Total))...)
		}
	}
	return out.String()
}
