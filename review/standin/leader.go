package main

import (
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// keyedClients are the clients of one proxy that send keyed requests one after the other.
	keyedClients = 60
	// leaderProxies are some of the site's proxies.
	leaderProxies = 4
	keyedPause    = 40 * time.Millisecond
	keyedWork     = 10 * time.Millisecond
	// successorDelay is when the successor of a lost controller starts, lookTime how long routes are tried.
	successorDelay = time.Second
	// operatorPause is how long after the loss the operator sends its change, to a controller that is there.
	operatorPause = 800 * time.Millisecond
	lookTime      = 14 * time.Second
	lookInterval  = 100 * time.Millisecond
)

// playLeader has the leading controller go for good, an empty one come at another address, and a route change to
// another service. Proxies in touch may not use the old route later than configApply after the acknowledgement.
func playLeader(log *record, trouble bool) (broken []string, err error) {
	s, err := newSystem(log, leaderProxies, 8)
	if err != nil {
		return nil, err
	}
	defer s.close()
	for _, b := range s.backends {
		b.work = keyedWork
	}
	if err = s.start(limitsOf(64<<20, 7)); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	var stop atomic.Bool
	var clients sync.WaitGroup
	for i := range keyedClients * len(s.proxies) {
		clients.Go(func() { s.sendKeyed(s.frontend(i%len(s.proxies)), &stop) })
	}
	defer clients.Wait()
	defer stop.Store(true)
	time.Sleep(contact)
	lost := log.now()
	first := 0
	if trouble {
		if first, err = s.loseLeader(); err != nil {
			return nil, err
		}
	}
	time.Sleep(operatorPause)
	if err = s.orderFrom(first, `{"upserts":{"routes":{"column_names":["name","hostname","path_prefix","route_type","timeout",`+
		`"target_latency","priority","max_attempts","version","service_name"],"row_values":[`+
		`["r-read","`+hostName+`","/read/","idempotent","10000ms","600ms",2,2,9,"disburse"]]}},"removals":{}}`,
		10*time.Second); err != nil {
		return nil, err
	}
	acked := log.now()
	log.write("the route is acknowledged")
	// Proxies are in touch contact after the successor's start, the last event of the core.
	from := max(acked+configApply, lost+successorDelay+contact)
	return s.lookForOldRoute(from, lost+lookTime), nil
}

// lookForOldRoute sends requests on the changed route to all proxies, and gives those that ran on the old service
// though they were sent later than from.
func (s *system) lookForOldRoute(from, until time.Duration) (broken []string) {
	late := map[int]int{}
	last := map[int]time.Duration{}
	for s.record.now() < until {
		for i := range s.proxies {
			at := s.record.now()
			id, got := s.lookOnce(i)
			old := false
			for _, b := range s.backends {
				old = old || b.service == "ledger" && got.status == http.StatusOK && strings.HasPrefix(got.signature, b.instance+".")
			}
			if old {
				s.record.write("%s, sent to %s at %v, ran on the old service; %s", id, s.proxies[i].name, at, got.signature)
			}
			if old && at > from {
				late[i]++
				last[i] = at
			}
		}
		time.Sleep(lookInterval)
	}
	for i, count := range late {
		broken = append(broken, fmt.Sprintf("CONFIG: %d requests at %s ran on the old service, sent up to %v after it had to use the new",
			count, s.proxies[i].name, (last[i]-from).Round(time.Millisecond)))
	}
	return broken
}

// lookOnce sends one request on the changed route.
func (s *system) lookOnce(i int) (id string, got answer) {
	id = nextID()
	c, err := dialClient(s.record, s.frontend(i))
	if err != nil {
		return id, got
	}
	defer func() { _ = c.conn.Close() }()
	if _, err = c.conn.Write([]byte(head("GET", "/read/"+id, id, "") + "\r\n")); err == nil {
		got = c.read("GET", time.Second)
	}
	return id, got
}

// sendKeyed sends keyed requests on a kept connection until it is stopped.
func (s *system) sendKeyed(address string, stop *atomic.Bool) {
	for !stop.Load() {
		c, err := dialClient(s.record, address)
		for err == nil && !stop.Load() {
			id := nextID()
			_, err = c.conn.Write([]byte(head("POST", "/keyed/"+id, id, headerKey+": k-"+id+"\r\nContent-Length: 0\r\n") + "\r\n"))
			if err != nil || c.read("POST", routeTimeout).status != http.StatusOK {
				break
			}
			time.Sleep(keyedPause)
		}
		if c != nil {
			_ = c.conn.Close()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// loseLeader ends the leading controller for good. From then on its address says nothing. A successor with an empty
// disk starts at another address. It gives another controller's number.
func (s *system) loseLeader() (other int, err error) {
	once := &http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
	for i, d := range s.controllers {
		response, getErr := once.Get("http://" + s.control(i) + "/-/Config.Describe")
		if getErr != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			continue
		}
		s.record.write("%s leads, and is gone for good", d.name)
		d.close()
		for _, address := range []string{s.host(10+i) + ":17720", s.control(i)} {
			if err = fallSilent(address); err != nil {
				return 0, err
			}
		}
		settings := s.settings("core-4", s.host(13), zoneA)
		settings["first_start"] = false
		settings["listen"] = map[string]string{"control_plane": s.control(3)}
		settings["data_directory"] = filepath.Join(s.folder, "core-4", "data")
		successor := s.daemon("core-4", "controller", settings)
		s.controllers = append(s.controllers, successor)
		time.AfterFunc(successorDelay, func() { _ = successor.start() })
		return i + 1, nil
	}
	return 0, fmt.Errorf("no controller leads")
}

// fallSilent has an address answer no attempt to connect: a listener that accepts nothing, with a full queue.
func fallSilent(address string) (err error) {
	at, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return err
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	if err = syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err = syscall.Bind(socket, &syscall.SockaddrInet4{Port: at.Port, Addr: [4]byte(at.IP.To4())}); err != nil {
		return err
	}
	if err = syscall.Listen(socket, 0); err != nil {
		return err
	}
	for range 4 {
		if _, err = net.DialTimeout("tcp4", address, 50*time.Millisecond); err != nil {
			return nil
		}
	}
	return fmt.Errorf("%s still answers", address)
}
