package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"tinpin/internal/await"
)

const (
	// checkInterval lies between two readiness checks of the platform, and misses in a
	// row take a proxy out.
	checkInterval = time.Second
	checkMisses   = 2
	// lookupTimeout is how long a client gives a directory, and lookupAttempts how many
	// directories it asks.
	lookupTimeout  = time.Second
	lookupAttempts = 3
)

// Entrance tells a client which proxies it may go to.
type Entrance interface {
	// Proxies are the addresses for one client; answers may differ from call to call.
	Proxies(rng *rand.Rand) (addresses []string)
}

// shortLived is for calls whose connections are not kept.
func shortLived(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// Readiness is the platform's address in front of a gateway: it asks every proxy
// whether it is ready.
type Readiness struct {
	checks, fronts []string
	client         *http.Client

	mu     sync.Mutex // guards misses
	misses []int
}

// newReadiness checks proxies by their readiness addresses.
func newReadiness(checks, fronts []string) *Readiness {
	r := &Readiness{checks: checks, fronts: fronts, client: shortLived(checkInterval), misses: make([]int, len(checks))}
	for i := range r.misses {
		r.misses[i] = checkMisses
	}
	return r
}

// Run checks until the context ends.
func (r *Readiness) Run(ctx context.Context) {
	var checking sync.WaitGroup
	for i := range r.checks {
		checking.Go(func() {
			for ctx.Err() == nil {
				r.check(ctx, i)
				await.Delay(ctx, checkInterval)
			}
		})
	}
	checking.Wait()
}

func (r *Readiness) check(ctx context.Context, i int) {
	ready := getOK(ctx, r.client, "http://"+r.checks[i]+"/-/readiness", nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.misses[i]++; ready {
		r.misses[i] = 0
	}
}

// Proxies are those that are ready; all of them where fewer than half are.
func (r *Readiness) Proxies(*rand.Rand) (addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, misses := range r.misses {
		if misses < checkMisses {
			addresses = append(addresses, r.fronts[i])
		}
	}
	if 2*len(addresses) < len(r.fronts) {
		return r.fronts
	}
	return addresses
}

// allReady tells that every proxy is ready.
func (r *Readiness) allReady() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, misses := range r.misses {
		if misses > 0 {
			return false
		}
	}
	return true
}

// Lookups asks the proxies' directory.
type Lookups struct {
	directories []string
	client      *http.Client
}

// resolveAnswer is an answer of the directory.
type resolveAnswer struct {
	Addresses []string `json:"addresses"`
	TTL       string   `json:"ttl"`
}

// Proxies asks directories until one answers.
func (l *Lookups) Proxies(rng *rand.Rand) (addresses []string) {
	for range lookupAttempts {
		directory := l.directories[rng.IntN(len(l.directories))]
		url := fmt.Sprintf("http://%s/-/resolve?name=%s&region=%s&zone=%s",
			directory, hostName, region, zones[rng.IntN(len(zones))])
		var answer resolveAnswer
		if getOK(context.Background(), l.client, url, &answer) && len(answer.Addresses) > 0 {
			return answer.Addresses
		}
	}
	return nil
}

// getOK gets an address and reads the JSON of a 200 into what is given, if anything.
func getOK(ctx context.Context, client *http.Client, url string, into any) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return false
	}
	return into == nil || json.NewDecoder(response.Body).Decode(into) == nil
}
