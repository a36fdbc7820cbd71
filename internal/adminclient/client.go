package adminclient

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"tinpin/internal/controller"
	"tinpin/internal/policy"
)

// Client sends requests to some controllers.
type Client struct {
	// Addresses are the control addresses to try, in this order.
	Addresses []string
	// RequestName names a request that has no version, so that it takes effect once
	// however often it is sent; empty for a name drawn for this call.
	RequestName string
	// Wait is how long to wait until all nodes follow a retirement.
	Wait   time.Duration
	client http.Client
}

// Verbs are the verbs of each subject with the number of their arguments.
var Verbs = map[string]map[string]int{
	"affinity": {"set": 1, "check": 1, "show": 0, "withdraw": 1},
	"retry":    {"set": 1, "check": 1, "show": 0, "withdraw": 1},
	"drain":    {"set": 1, "check": 1, "show": 0, "withdraw": 1, "retire": 1, "restore": 1},
	"plan":     {"set": 1, "check": 1, "show": 0, "withdraw": 1},
}

var kindBySubject = map[string]policy.Kind{
	"drain": policy.DrainPolicy, "plan": policy.DayPlan, "retry": policy.RetryLimit, "affinity": policy.SessionAffinity,
}

// Run carries out one request and prints what came of it; done tells that it is
// in force as asked. subject, verb and the number of arguments must be as Verbs
// has them.
func (c *Client) Run(
	ctx context.Context, out io.Writer, subject, verb string, arguments []string,
) (done bool, err error) {
	kind := kindBySubject[subject]
	switch verb {
	case "set", "check":
		return c.set(ctx, out, kind, arguments[0], verb == "check")
	case "withdraw":
		if _, numberErr := strconv.ParseUint(arguments[0], 10, 63); numberErr != nil {
			return false, fmt.Errorf("withdraw takes a version above the one that holds, not %q", arguments[0])
		}
		return c.send(ctx, out, "/-/Orders.Withdraw/"+string(kind)+"/"+arguments[0], nil)
	case "restore":
		return c.send(ctx, out, c.withRequestName("/-/Backends.Restore/"+url.PathEscape(arguments[0])), nil)
	case "retire":
		return c.retire(ctx, out, arguments[0])
	}
	status, err := c.show(ctx, kind)
	if err != nil {
		return false, err
	}
	return true, printDocument(out, status)
}

func (c *Client) set(
	ctx context.Context, out io.Writer, kind policy.Kind, file string, checkOnly bool,
) (done bool, err error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return false, err
	}
	path := "/-/Orders.Set/" + string(kind)
	if checkOnly {
		path += "?check=true"
	}
	return c.send(ctx, out, path, body)
}

// send makes one call and prints the status that it is answered with.
func (c *Client) send(ctx context.Context, out io.Writer, path string, body []byte) (done bool, err error) {
	_, err = c.sendForStatus(ctx, out, path, body)
	return err == nil, err
}

func (c *Client) sendForStatus(
	ctx context.Context, out io.Writer, path string, body []byte,
) (status string, err error) {
	answer, err := c.call(ctx, http.MethodPost, path, body)
	if err != nil {
		return "", err
	}
	var done struct{ Status string }
	if err = json.Unmarshal(answer, &done); err != nil {
		return "", fmt.Errorf("reading the answer: %w", err)
	}
	_, err = fmt.Fprintln(out, done.Status)
	return done.Status, err
}

// show reads a document and how what it governs stands.
func (c *Client) show(ctx context.Context, kind policy.Kind) (status controller.DocumentStatus, err error) {
	answer, err := c.call(ctx, http.MethodGet, "/-/Orders.Show/"+string(kind), nil)
	if err != nil {
		return status, err
	}
	if err = json.Unmarshal(answer, &status); err != nil {
		return status, fmt.Errorf("reading the answer: %w", err)
	}
	return status, nil
}
