// Package clerk carries an operator's orders to the accord daemons: it tries
// each control address in turn, follows the way to the leader, and tells what
// was answered. Every call it makes may be made again: the same order twice
// changes nothing.
package adminclient

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/zeebo/errs"

	"tinpin/internal/controller"
	"tinpin/internal/drain"
	"tinpin/internal/policy"
)

// Class marks failures of an operator's call.
var Class = errs.Class("order")

const (
	callPatience = 3 * time.Second
	pollPause    = 200 * time.Millisecond
)

// Client knows where the accord daemons are.
type Client struct {
	Addresses []string
	// RequestName names an order that has no version, so that it takes effect once however
	// often it is sent; empty: a name drawn for this call.
	RequestName string
	// Wait is how long to wait for a retired backend to be let go by all.
	Wait   time.Duration
	client http.Client
}

// Verbs are the words that follow each kind of order, with what they take.
var Verbs = map[string]map[string]int{
	"affinity": {"set": 1, "check": 1, "show": 0, "withdraw": 1},
	"retry":    {"set": 1, "check": 1, "show": 0, "withdraw": 1},
	"drain":    {"set": 1, "check": 1, "show": 0, "withdraw": 1, "retire": 1, "restore": 1},
	"plan":     {"set": 1, "check": 1, "show": 0, "withdraw": 1},
}

var kinds = map[string]policy.Kind{"drain": policy.DrainPolicy, "plan": policy.DayPlan, "retry": policy.RetryLimit, "affinity": policy.SessionAffinity}

// Run carries one order out and prints what came of it; good tells that it
// stands as asked.
func (c *Client) Run(ctx context.Context, out io.Writer, subject, verb string, words []string) (good bool, err error) {
	kind := kinds[subject]
	switch verb {
	case "set", "check":
		body, readErr := os.ReadFile(words[0])
		if readErr != nil {
			return false, Class.Wrap(readErr)
		}
		path := "/-/Orders.Set/" + string(kind)
		if verb == "check" {
			path += "?check=true"
		}
		return c.tell(ctx, out, path, body)
	case "withdraw":
		if _, numberErr := strconv.ParseUint(words[0], 10, 63); numberErr != nil {
			return false, Class.New("withdraw takes a version above the one that holds, not %q", words[0])
		}
		return c.tell(ctx, out, "/-/Orders.Withdraw/"+string(kind)+"/"+words[0], nil)
	case "restore":
		return c.tell(ctx, out, c.named("/-/Backends.Restore/"+url.PathEscape(words[0])), nil)
	case "retire":
		return c.retire(ctx, out, words[0])
	}
	shown, err := c.show(ctx, kind)
	if err != nil {
		return false, err
	}
	return true, print(out, shown)
}

// named adds the order's name, the same for each control address that is tried.
func (c *Client) named(path string) (whole string) {
	name := c.RequestName
	if name == "" {
		name = rand.Text()
	}
	return path + "?order=" + url.QueryEscape(name)
}

func (c *Client) tell(ctx context.Context, out io.Writer, path string, body []byte) (good bool, err error) {
	_, err = c.status(ctx, out, path, body)
	return err == nil, err
}

func (c *Client) status(ctx context.Context, out io.Writer, path string, body []byte) (status string, err error) {
	answer, err := c.call(ctx, http.MethodPost, path, body)
	if err != nil {
		return "", err
	}
	var done struct{ Status string }
	if err = json.Unmarshal(answer, &done); err != nil {
		return "", Class.Wrap(err)
	}
	_, err = fmt.Fprintln(out, done.Status)
	return done.Status, Class.Wrap(err)
}

// retire orders it and, where asked to, waits until all daemons in touch follow.
func (c *Client) retire(ctx context.Context, out io.Writer, id string) (good bool, err error) {
	status, err := c.status(ctx, out, c.named("/-/Backends.Retire/"+url.PathEscape(id)), nil)
	if gone := drain.Phase(status); err != nil || c.Wait <= 0 || gone == drain.Removed || gone == drain.Withdrawn {
		return err == nil && gone != drain.Withdrawn, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	for last := ""; ; {
		shown, showErr := c.show(ctx, policy.DrainPolicy)
		if showErr == nil {
			for _, account := range shown.Retirements {
				if account.Backend != id {
					continue
				}
				if said := string(account.Phase) + " " + account.Reason; said != last {
					last = said
					_, _ = fmt.Fprintln(out, strings.TrimSpace(fmt.Sprintf("%s, %d of %d daemons follow %s", account.Phase, account.Confirmed, account.Nodes, account.Reason)))
				}
				if account.Phase == drain.Complete {
					return true, nil
				}
			}
		}
		select {
		case <-ctx.Done():
			return false, Class.New("not all daemons follow after %s", c.Wait)
		case <-time.After(pollPause):
		}
	}
}

func (c *Client) show(ctx context.Context, kind policy.Kind) (shown controller.DocumentStatus, err error) {
	answer, err := c.call(ctx, http.MethodGet, "/-/Orders.Show/"+string(kind), nil)
	if err != nil {
		return shown, err
	}
	return shown, Class.Wrap(json.Unmarshal(answer, &shown))
}

// call tries each control address; an answer below 500 is the answer. Where none
// has one, nobody can say whether the order stands, and it may be sent again.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (answer []byte, err error) {
	err = Class.New("no control address is given")
	for _, control := range c.Addresses {
		if answer, err = c.ask(ctx, method, "http://"+control+path, body); err == nil || refusal.Has(err) {
			return answer, err
		}
	}
	if method == http.MethodPost {
		again := "the same may be sent again"
		if _, name, named := strings.Cut(path, "?order="); named {
			if name, err := url.QueryUnescape(name); err == nil {
				again += " with -order " + name
			}
		}
		return nil, Class.New("no clear answer, %s: %v", again, err)
	}
	return nil, err
}

// refusal marks answers that no other daemon would give otherwise.
var refusal = errs.Class("refused")

func (c *Client) ask(ctx context.Context, method, target string, body []byte) (answer []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, callPatience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, Class.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if answer, err = io.ReadAll(io.LimitReader(response.Body, 8<<20)); err != nil {
		return nil, Class.Wrap(err)
	}
	if response.StatusCode == http.StatusOK {
		return answer, nil
	}
	var told struct {
		Text string `json:"error_message"`
	}
	_ = json.Unmarshal(answer, &told)
	if response.StatusCode == http.StatusConflict {
		return nil, refusal.New("another order was taken under this version: %s", told.Text)
	}
	if response.StatusCode < 500 {
		return nil, refusal.New("%s", told.Text)
	}
	return nil, Class.New("%d %s", response.StatusCode, told.Text)
}

func print(out io.Writer, shown controller.DocumentStatus) (err error) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	state := "in force"
	if !shown.InForce {
		state = "not in force"
	}
	_, _ = fmt.Fprintf(table, "%s\tversion %d\t%s\n", shown.Kind, shown.Version, state)
	for _, account := range shown.Retirements {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d of %d follow\t%s %s\n", account.Backend, account.Service, account.Phase, account.Confirmed, account.Nodes, account.Reason, strings.Join(account.Missing, ","))
	}
	if sessions := shown.Sessions; sessions != nil {
		for _, account := range sessions.Services {
			_, _ = fmt.Fprintf(table, "%s\tby %s\tidle %s\t%d of %d sessions\n", account.Service, account.Source, account.Idle, account.Sessions, account.Limit)
		}
		_, _ = fmt.Fprintf(table, "moved %d\tdropped for want of room %d\trefused %d\n", sessions.Moved, sessions.Evicted, sessions.Rejected)
	}
	for _, account := range shown.Retries {
		holds := "holds"
		if !account.InForceEverywhere {
			holds = "does not hold everywhere yet"
		}
		_, _ = fmt.Fprintf(table, "%s\tratio %g\tleast %g/s in %s\tlent %.3f\t%d of %d follow\t%s %s\n", account.Service, account.Ratio, account.LeastPerSecond, account.Window, account.Granted, account.Followers, account.Nodes, holds, strings.Join(account.Missing, ","))
	}
	if shown.Step > 0 {
		_, _ = fmt.Fprintf(table, "step\t%d\n", shown.Step)
	}
	for _, account := range shown.Targets {
		_, _ = fmt.Fprintf(table, "%s\tnow %v\twanted %v\t%s\n", account.Target, account.Now, account.Wanted, account.Waiting)
	}
	if err = table.Flush(); err != nil || !shown.InForce {
		return Class.Wrap(err)
	}
	_, err = fmt.Fprintln(out, string(shown.Document))
	return Class.Wrap(err)
}
