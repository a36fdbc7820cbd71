package loadtest

// The path measurement is what a proxy adds to a request: the same requests one after the
// other to a stand-in backend directly and through a proxy, on loopback.

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"tinpin/internal/localcluster"
)

// PathPoint is what requests took, in milliseconds at percentiles.
type PathPoint struct {
	Requests int                `json:"requests"`
	Direct   map[string]float64 `json:"direct_ms"`
	Through  map[string]float64 `json:"through_ms"`
}

var percentiles = []float64{50, 90, 99}

func percentilesOf(times []time.Duration) (at map[string]float64) {
	slices.Sort(times)
	at = map[string]float64{}
	for _, percentile := range percentiles {
		rank := min(len(times)-1, int(float64(len(times))*percentile/100))
		at[fmt.Sprintf("p%g", percentile)] = float64(times[rank]) / float64(time.Millisecond)
	}
	return at
}

// MeasurePath measures so many requests each way.
func MeasurePath(requests int) (point PathPoint, err error) {
	if requests < 1 || requests > 100_000 {
		return point, Class.New("requests must be from 1 to 100000, not %d", requests)
	}
	folder, err := os.MkdirTemp("", "tinpin-load-")
	if err != nil {
		return point, Class.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	system, err := localcluster.Start(folder, localcluster.Hosts())
	if err != nil {
		return point, Class.Wrap(err)
	}
	defer system.Close()
	_, _, err = system.Operator(ctx, http.MethodPost, "/-/Config.Update", localcluster.InitialConfiguration)
	if err != nil {
		return point, Class.Wrap(err)
	}
	if err = system.Ready(ctx); err != nil {
		return point, Class.Wrap(err)
	}
	point.Requests = requests
	addresses := map[string]string{
		"direct": system.Backends[0].Address, "through": system.ProxySettings[0].FrontendAddress,
	}
	for route, address := range addresses {
		var times []time.Duration
		for n := 0; n < requests+requests/10+1; n++ {
			started := time.Now()
			call := localcluster.Call{Method: http.MethodGet, Path: "/hello/x"}
			status, askErr := localcluster.RequestAs(ctx, address, call)
			if askErr != nil || status != http.StatusOK {
				return point, Class.New("%s: %d %v", route, status, askErr)
			}
			// The first tenth warms both up.
			if n > requests/10 {
				times = append(times, time.Since(started))
			}
		}
		if route == "direct" {
			point.Direct = percentilesOf(times)
		} else {
			point.Through = percentilesOf(times)
		}
	}
	return point, nil
}
