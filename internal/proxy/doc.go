// Package proxy is one node of the data plane. For each request it makes a Plan (newPlan), claims the key
// of a keyed operation (executeKeyed), makes the attempts that the plan allows, with retries and hedged
// requests (execute, attemptWithHedge), and decides what the client is answered. It also probes the
// backends that it is assigned, answers directory queries and sends heartbeats to the leading controller.
//
// It owns the backends with their connection pools and statistics, the retry budget, the limits of
// concurrency, bandwidth and tenants, the operations that this node holds, and the node's copy of the
// cluster state. It does not own the connections of clients (package frontend), the encoding of requests
// and responses (message) or the pure rules that it applies (balancer, directory, quota, retry, affinity,
// healthcheck, idempotency).
//
// A Daemon is started once by Start and stopped once by Stop; its other exported methods may be called by
// any goroutine. A request is handled on the goroutine of its caller; only a request that may be hedged
// makes its attempts on goroutines of their own.
package proxy
