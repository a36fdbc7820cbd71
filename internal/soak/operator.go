package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"tinpin/internal/await"
)

const (
	// callTimeout is how long the operator waits for an answer, and orderTime how long
	// it sends the same order again.
	callTimeout = time.Second
	orderTime   = 15 * time.Second
	orderPause  = 100 * time.Millisecond
	// maxAddedRoutes is how many routes may stand beside the first ones.
	maxAddedRoutes = 30
	limitsItem     = "limits"
	// invalidItem is the item of changes that must be refused, resentItem that of a change sent again.
	invalidItem, resentItem = "bad", "resent"
	invalidVersion          = 1_000_000
)

// Result is what the operator was told of an order.
type Result uint8

// The results.
const (
	// OutcomeUnknown: no clear answer; the order may be in force or not.
	OutcomeUnknown Result = iota
	Acknowledged
	Refused
)

// Change is one content of one item.
type Change struct {
	Item    string
	Version int
	// Service is where a route goes, BodyBytes how large limits let a body be, Content the whole item as it
	// was sent.
	Service   string
	BodyBytes int
	Content   string
	Dropped   bool
	Sent      time.Duration
	// AnsweredAt is when the result came.
	AnsweredAt time.Duration
	Result     Result
	Status     int
	// Invalid must be refused, Raced has another content under the same version.
	Invalid, Raced bool
}

// Evacuation is one emptying of a zone.
type Evacuation struct {
	Zone string
	// Acknowledged is when it was, 0 for never; TakenBack when the order to end it was sent.
	Acknowledged, TakenBack time.Duration
}

// Operator sends changes to the controllers.
type Operator struct {
	addresses []string
	log       *Log
	client    *http.Client

	mu          sync.Mutex // guards what follows
	rng         *rand.Rand
	version     int
	changes     []*Change
	evacuations []*Evacuation
	added       []string
	addedCount  int
	// idle and bodyBytes are the limits that were sent last.
	idle      string
	bodyBytes int
	// last is the body of the last change that was acknowledged.
	last string
	// busy are the items with an order under way.
	busy map[string]bool
}

// newOperator talks to controllers by their control addresses.
func newOperator(addresses []string, log *Log, seed uint64) *Operator {
	return &Operator{
		addresses: addresses, log: log, client: shortLived(callTimeout), busy: map[string]bool{},
		rng: rand.New(rand.NewPCG(seed, 0x6f70)), idle: firstIdle, bodyBytes: widestBody,
	}
}

// routeColumns are the columns of a route.
const routeColumns = `["name","hostname","path_prefix","route_type","timeout","target_latency","max_attempts",` +
	`"service_name","version"]`

// route is a route of the configuration.
type route struct {
	name, path, routeType, timeout, target, service string
}

// row is the route as it is sent in a version.
func (r route) row(version int) string {
	return fmt.Sprintf(`["%s","%s","%s","%s","%s","%s",2,"%s",%d]`,
		r.name, hostName, r.path, r.routeType, r.timeout, r.target, r.service, version)
}

// routeOf is the first route of a kind.
func routeOf(kind Kind) route {
	return route{
		name: kindRoute(kind), path: kinds[kind].path, routeType: kinds[kind].routeType,
		timeout: "10s", target: "1s", service: kindService(kind),
	}
}

// upsertRoute is a call that sets one route.
func upsertRoute(row string) string {
	return `{"upserts":{"routes":{"column_names":` + routeColumns + `,"row_values":[` + row + `]}}}`
}

// routeTo is the route of a kind that goes to a service.
func routeTo(kind Kind, service string) (to route) {
	to = routeOf(kind)
	to.service = service
	return to
}

// plainRoute is an idempotent route.
func plainRoute(name, path string) route {
	return route{
		name: name, path: path, routeType: kinds[Idempotent].routeType, timeout: "10s", target: "1s",
		service: services[0],
	}
}

// kindRoute is the name of a kind's route.
func kindRoute(kind Kind) string { return "r-" + kind.String() }

// kindService is where a kind's route goes at first.
func kindService(kind Kind) string {
	if kind == Keyed || kind == Download {
		return services[1]
	}
	return services[0]
}

// initial is the first call, with all items.
func (o *Operator) initial() (body string) {
	o.version = 1
	var serviceRows, routeRows []string
	for _, service := range services {
		serviceRows = append(serviceRows, fmt.Sprintf(`["%s","/health",200,1]`, service))
	}
	for kind := range kindCount {
		row := routeOf(kind).row(1)
		routeRows = append(routeRows, row)
		o.changes = append(o.changes, &Change{
			Item: kindRoute(kind), Version: 1, Service: kindService(kind), Content: row, Result: Acknowledged,
		})
	}
	limits := limitsContent(firstIdle, widestBody, 1)
	o.changes = append(o.changes, &Change{
		Item: limitsItem, Version: 1, BodyBytes: widestBody, Content: limits, Result: Acknowledged,
	})
	return `{"upserts":{"services":{"column_names":["name","health_check_path","max_connections","version"],` +
		`"row_values":[` + strings.Join(serviceRows, ",") + `]},"routes":{"column_names":` + routeColumns +
		`,"row_values":[` + strings.Join(routeRows, ",") + `]},"limits":` + limits + `}}`
}

// take reserves an item and the next version; it returns false where an order for the
// item is under way.
func (o *Operator) take(item string) (version int, taken bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.busy[item] {
		return 0, false
	}
	o.busy[item] = true
	o.version += 1 + o.rng.IntN(3)
	return o.version, true
}

func (o *Operator) release(item string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.busy, item)
}

// pickString draws one of several.
func (o *Operator) pickString(from ...string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return from[o.rng.IntN(len(from))]
}

// Carry carries an event of the configuration out; it returns when the result is in.
func (o *Operator) Carry(ctx context.Context, event Event) {
	switch event.Action {
	case Move:
		o.set(ctx, kindRoute(Moving), func(version int) (string, string) {
			return routeTo(Moving, services[version%2]).row(version), services[version%2]
		})
	case Retime:
		kind := []Kind{Idempotent, NonIdempotent, Keyed, Download}[event.At.Milliseconds()%4]
		timeout, target := o.pickString("9s", "10s", "12s"), o.pickString("500ms", "1s", "2s")
		o.set(ctx, kindRoute(kind), func(version int) (string, string) {
			timed := routeOf(kind)
			timed.timeout, timed.target = timeout, target
			return timed.row(version), timed.service
		})
	case Idle:
		o.setLimits(ctx, func() { o.idle = []string{"8s", firstIdle, "30s"}[o.rng.IntN(3)] })
	case BodyLimit:
		o.setLimits(ctx, func() { o.bodyBytes = widestBody + tightestBody - o.bodyBytes })
	case AddRoute:
		o.addRoute(ctx)
	case DropRoute:
		o.dropRoute(ctx)
	case Invalid:
		o.sendInvalid(ctx)
	case Race:
		o.race(ctx)
	case Resend:
		o.resend(ctx)
	case Evacuate:
		o.evacuate(ctx, zones[event.At.Milliseconds()%2], event.For)
	}
}

// set sends one route; row gives its row and where it goes.
func (o *Operator) set(ctx context.Context, item string, row func(version int) (content, service string)) {
	o.send(ctx, item, func(version int) (*Change, string) {
		content, service := row(version)
		return &Change{Content: content, Service: service}, upsertRoute(content)
	})
}

// send sends one change of an item until there is a result; compose gives the change
// and the call's body for a version.
func (o *Operator) send(ctx context.Context, item string, compose func(version int) (*Change, string)) {
	version, taken := o.take(item)
	if !taken {
		return
	}
	defer o.release(item)
	change, body := compose(version)
	change.Item, change.Version = item, version
	o.begin(change)
	o.finish(change, o.order(ctx, http.MethodPost, "/-/Config.Update", body, o.startAt()))
	if change.Result == Acknowledged {
		o.mu.Lock()
		o.last = body
		o.mu.Unlock()
	}
}

// begin notes a change that is about to be sent.
func (o *Operator) begin(change *Change) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change.Sent = o.log.Now()
	o.changes = append(o.changes, change)
}

// finish notes the result of a change.
func (o *Operator) finish(change *Change, status int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change.AnsweredAt, change.Status = o.log.Now(), status
	switch {
	case status/100 == 2:
		change.Result = Acknowledged
	case status/100 == 4:
		change.Result = Refused
	}
}

// startAt draws the controller that is asked first.
func (o *Operator) startAt() (first int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rng.IntN(len(o.addresses))
}

// order sends a call to the controllers in turn, until one gives a clear answer or the
// time for it is over; it returns the status, 0 for none.
func (o *Operator) order(ctx context.Context, method, path, body string, first int) (status int) {
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	for n := first; ctx.Err() == nil; n++ {
		status, _ = o.call(ctx, method, "http://"+o.addresses[n%len(o.addresses)]+path, body)
		comeAgain := status == http.StatusRequestTimeout || status == http.StatusTooManyRequests
		if status/100 == 2 || status/100 == 4 && !comeAgain {
			return status
		}
		await.Delay(ctx, orderPause)
	}
	return 0
}

// call makes one call and follows redirects.
func (o *Operator) call(ctx context.Context, method, url, body string) (status int, answer []byte) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil
	}
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	if answer, err = io.ReadAll(response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// addRoute adds a route beside the first ones.
func (o *Operator) addRoute(ctx context.Context) {
	o.mu.Lock()
	if len(o.added) >= maxAddedRoutes {
		o.mu.Unlock()
		return
	}
	o.addedCount++
	name := fmt.Sprintf("x-%d", o.addedCount)
	o.mu.Unlock()
	o.set(ctx, name, func(version int) (string, string) {
		added := plainRoute(name, "/"+name+"/")
		return added.row(version), added.service
	})
	o.mu.Lock()
	o.added = append(o.added, name)
	o.mu.Unlock()
}

// dropRoute drops the route that was added first.
func (o *Operator) dropRoute(ctx context.Context) {
	o.mu.Lock()
	if len(o.added) == 0 {
		o.mu.Unlock()
		return
	}
	name := o.added[0]
	o.added = o.added[1:]
	o.mu.Unlock()
	o.send(ctx, name, func(version int) (*Change, string) {
		body := fmt.Sprintf(`{"upserts":{},"removals":{"routes":[{"name":"%s","version":%d}]}}`, name, version)
		return &Change{Dropped: true}, body
	})
}

// sendInvalid sends what must be refused.
func (o *Operator) sendInvalid(ctx context.Context) {
	sameplace, unknown, odd, late := plainRoute(invalidItem, kinds[Idempotent].path), plainRoute(invalidItem, "/bad/"),
		plainRoute(invalidItem, "/bad/"), plainRoute(invalidItem, "/bad/")
	unknown.service, odd.routeType, late.target = "nobody", "sometimes", "90s"
	cutShort := plainRoute(invalidItem, "/bad/").row(invalidVersion) + ",[1"
	bad := o.pickString(sameplace.row(invalidVersion), unknown.row(invalidVersion), odd.row(invalidVersion),
		late.row(invalidVersion), cutShort)
	change := &Change{Item: invalidItem, Version: invalidVersion, Content: bad, Invalid: true}
	o.begin(change)
	o.finish(change, o.order(ctx, http.MethodPost, "/-/Config.Update", upsertRoute(bad), o.startAt()))
}

// race sends two contents of the moving route under one version to two controllers.
func (o *Operator) race(ctx context.Context) {
	item := kindRoute(Moving)
	version, taken := o.take(item)
	if !taken {
		return
	}
	defer o.release(item)
	first := o.startAt()
	var racing sync.WaitGroup
	for i, service := range services {
		row := routeTo(Moving, service).row(version)
		change := &Change{Item: item, Version: version, Service: service, Content: row, Raced: true}
		o.begin(change)
		racing.Go(func() {
			o.finish(change, o.order(ctx, http.MethodPost, "/-/Config.Update", upsertRoute(row), first+i))
		})
	}
	racing.Wait()
}

// resend sends the last change that was acknowledged once more.
func (o *Operator) resend(ctx context.Context) {
	o.mu.Lock()
	body := o.last
	o.mu.Unlock()
	if body == "" {
		return
	}
	change := &Change{Item: resentItem, Content: body}
	o.begin(change)
	o.finish(change, o.order(ctx, http.MethodPost, "/-/Config.Update", body, o.startAt()))
}

// evacuate empties a zone for a time.
func (o *Operator) evacuate(ctx context.Context, zone string, lasting time.Duration) {
	if _, taken := o.take("evacuation"); !taken {
		return
	}
	defer o.release("evacuation")
	evacuation := &Evacuation{Zone: zone}
	o.mu.Lock()
	o.evacuations = append(o.evacuations, evacuation)
	o.mu.Unlock()
	if o.order(ctx, http.MethodPost, "/-/Evacuations.Start/"+zone, "", o.startAt())/100 == 2 {
		o.mu.Lock()
		evacuation.Acknowledged = o.log.Now()
		o.mu.Unlock()
	}
	await.Delay(ctx, lasting)
	o.mu.Lock()
	evacuation.TakenBack = o.log.Now()
	o.mu.Unlock()
	o.order(context.WithoutCancel(ctx), http.MethodPost, "/-/Evacuations.Stop/"+zone, "", o.startAt())
}

// errNotDescribed tells that no controller gave the configuration.
var errNotDescribed = errors.New("no controller describes the configuration")

// describe reads the configuration back: the rows of the routes and the limits, by item.
func (o *Operator) describe(ctx context.Context) (items map[string]map[string]any, err error) {
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	for n := 0; ctx.Err() == nil; n++ {
		address := o.addresses[n%len(o.addresses)]
		status, answer := o.call(ctx, http.MethodGet, "http://"+address+"/-/Config.Describe", "")
		if status == http.StatusOK {
			return parseDescription(answer)
		}
		await.Delay(ctx, orderPause)
	}
	return nil, errNotDescribed
}

// description is the configuration as it is read back.
type description struct {
	Routes struct {
		Columns []string `json:"column_names"`
		Rows    [][]any  `json:"row_values"`
	} `json:"routes"`
	Limits map[string]any `json:"limits"`
}

// parseDescription gives the values of each item by their columns.
func parseDescription(text []byte) (items map[string]map[string]any, err error) {
	var read description
	if err = json.Unmarshal(text, &read); err != nil {
		return nil, Class.Wrap(err)
	}
	items = map[string]map[string]any{limitsItem: read.Limits}
	for _, row := range read.Routes.Rows {
		item := map[string]any{}
		for i, column := range read.Routes.Columns {
			if i < len(row) && row[i] != nil {
				item[column] = row[i]
			}
		}
		items[fmt.Sprint(item["name"])] = item
	}
	return items, nil
}

// parseContent gives the values of a change's content by their columns, as they are read back.
func parseContent(change *Change) (item map[string]any) {
	item = map[string]any{}
	if change.Item == limitsItem {
		_ = json.Unmarshal([]byte(change.Content), &item)
		return item
	}
	var columns []string
	var row []any
	_ = json.Unmarshal([]byte(routeColumns), &columns)
	_ = json.Unmarshal([]byte(change.Content), &row)
	for i, column := range columns {
		if i < len(row) {
			item[column] = row[i]
		}
	}
	return item
}
