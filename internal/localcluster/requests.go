package localcluster

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"tinpin/internal/await"
)

// pollInterval lies between two looks at a condition.
const pollInterval = 20 * time.Millisecond

// CallerHeader names the session of a request.
const CallerHeader = "X-Caller"

// InitialConfiguration is the configuration that tests begin with.
const InitialConfiguration = `{"upserts":{
 "services":{"column_names":["name","health_check_path","max_connections","version"],
  "row_values":[["hello","/health",100,1],["ledger","/health",100,1]]},
 "routes":{"column_names":["name","hostname","path_prefix","route_type","timeout","target_latency","max_attempts",
   "service_name","version"],
  "row_values":[["r-hello","shop.example","/hello/","idempotent","2s","500ms",2,"hello",1],
                ["r-pay","shop.example","/pay/","keyed","2s","500ms",2,"ledger",1]]}}}`

// Operator sends a call to the controllers in turn until one accepts it, as an operator would.
func (s *Cluster) Operator(ctx context.Context, method, path, body string) (status int, answer string, err error) {
	for {
		for _, config := range s.ControllerSettings {
			status, answer, err = operatorCall(ctx, method, "http://"+config.ControlAddress+path, body)
			if err == nil && status < http.StatusInternalServerError {
				return status, answer, nil
			}
		}
		if err = pollPause(ctx); err != nil {
			return 0, "", err
		}
	}
}

// operatorCall makes one call to a controller.
func operatorCall(ctx context.Context, method, url, body string) (status int, answer string, err error) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", Class.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", Class.Wrap(err)
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return response.StatusCode, string(data), Class.Wrap(err)
}

// pollPause waits until a condition is worth another look, or the context ends.
func pollPause(ctx context.Context) (err error) {
	if !await.Delay(ctx, pollInterval) {
		return Class.Wrap(ctx.Err())
	}
	return nil
}

// Until polls until a condition holds or the context ends.
func Until(ctx context.Context, holds func() bool) (err error) {
	for !holds() {
		if err = pollPause(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Response is what a client gets.
type Response struct {
	Status int
	// Signature is that of the backend that ran the request.
	Signature string
	Body      string
}

// clientRequest is one request of a client to a proxy.
type clientRequest struct {
	address, method, path string
	// key and session are empty for none.
	key, session string
}

// requestCount numbers the requests of this process.
var requestCount atomic.Int64

// Request sends one client request to a proxy, with a key if it is not empty.
func (s *Cluster) Request(ctx context.Context, edge int, method, path, key string) (response Response, err error) {
	address := s.ProxySettings[edge].FrontendAddress
	return clientRequest{address: address, method: method, path: path, key: key}.send(ctx)
}

// Call is one request of a caller.
type Call struct{ Method, Path, Key, Session string }

// RequestAs sends one call to a proxy's address.
func RequestAs(ctx context.Context, address string, call Call) (status int, err error) {
	response, err := clientRequest{
		address: address, method: call.Method, path: call.Path, key: call.Key, session: call.Session,
	}.send(ctx)
	return response.Status, err
}

// send sends the request and reads the whole response.
func (r clientRequest) send(ctx context.Context) (answer Response, err error) {
	request, err := http.NewRequestWithContext(ctx, r.method, "http://"+r.address+r.path, nil)
	if err != nil {
		return answer, Class.Wrap(err)
	}
	request.Host = "shop.example"
	request.Header.Set("Tinpin-Request-Id", "q-"+strconv.FormatInt(requestCount.Add(1), 10))
	request.Header.Set("Tinpin-Request-Deadline", "2000")
	if r.key != "" {
		request.Header.Set("Tinpin-Operation-Key", r.key)
	}
	if r.session != "" {
		request.Header.Set(CallerHeader, r.session)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer, Class.Wrap(err)
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	answer = Response{
		Status: response.StatusCode, Signature: response.Header.Get("Tinpin-Response-Signature"), Body: string(data),
	}
	return answer, Class.Wrap(err)
}
