package adminclient

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strings"
	"time"

	"tinpin/internal/drain"
	"tinpin/internal/policy"
)

// pollInterval is how often the progress of a retirement is asked for.
const pollInterval = 200 * time.Millisecond

// retire retires a backend and, where asked to, waits until all nodes follow.
func (c *Client) retire(ctx context.Context, out io.Writer, backend string) (done bool, err error) {
	status, err := c.sendForStatus(ctx, out, c.withRequestName("/-/Backends.Retire/"+url.PathEscape(backend)), nil)
	if err != nil {
		return false, err
	}
	phase := drain.Phase(status)
	if c.Wait <= 0 || phase == drain.Removed || phase == drain.Withdrawn {
		return phase != drain.Withdrawn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	return c.awaitRetirement(ctx, out, backend)
}

// awaitRetirement prints each change until all nodes follow or ctx is done. A
// call that fails is made again.
func (c *Client) awaitRetirement(ctx context.Context, out io.Writer, backend string) (done bool, err error) {
	last := ""
	for {
		if retirement, found := c.retirementStatus(ctx, backend); found {
			if now := string(retirement.Phase) + " " + retirement.Reason; now != last {
				last = now
				line := fmt.Sprintf("%s, %d of %d daemons follow %s",
					retirement.Phase, retirement.Confirmed, retirement.Nodes, retirement.Reason)
				_, _ = fmt.Fprintln(out, strings.TrimSpace(line))
			}
			if retirement.Phase == drain.Complete {
				return true, nil
			}
		}
		select {
		case <-ctx.Done():
			return false, fmt.Errorf("not all daemons follow after %s", c.Wait)
		case <-time.After(pollInterval):
		}
	}
}

func (c *Client) retirementStatus(ctx context.Context, backend string) (retirement drain.RetirementStatus, found bool) {
	document, err := c.show(ctx, policy.DrainPolicy)
	if err != nil {
		return retirement, false
	}
	for _, retirement = range document.Retirements {
		if retirement.Backend == backend {
			return retirement, true
		}
	}
	return retirement, false
}
