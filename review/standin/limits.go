package main

import (
	"fmt"
	"strings"
	"time"
)

// limitsOf is the item of limits with a bound on bodies.
func limitsOf(bodyBytes, version int) string {
	return fmt.Sprintf(`{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout":"3000ms",`+
		`"idle_timeout":"15000ms","version":%d}`, bodyBytes, version)
}

const (
	smallBody, largeBody = 4096, 65536
	limitsClients        = 24
)

// playLimits has clients rest on kept connections while the operator allows larger bodies. Each then sends a
// body that the new limits allow, later than configApply after the acknowledgement.
func playLimits(log *record, trouble bool) (broken []string, err error) {
	s, err := newSystem(log, 2, 4)
	if err != nil {
		return nil, err
	}
	defer s.close()
	first := smallBody
	if !trouble {
		first = largeBody
	}
	if err = s.start(limitsOf(first, 7)); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	var clients []*client
	for i := range limitsClients {
		c, dialErr := dialClient(log, s.frontend(i%2))
		if dialErr != nil {
			return nil, dialErr
		}
		clients = append(clients, c)
		if got := c.post(100); got.status != 200 {
			return nil, fmt.Errorf("the first request got %d", got.status)
		}
	}
	if err = s.order(`{"upserts":{"limits":`+limitsOf(largeBody, 9)+`},"removals":{}}`, 10*time.Second); err != nil {
		return nil, err
	}
	log.write("bodies of %d bytes are allowed and acknowledged", largeBody)
	time.Sleep(configApply + 2*time.Second)
	refused := 0
	for i, c := range clients {
		if got := c.post(largeBody / 2); got.status >= 400 && got.status < 500 {
			refused++
			log.write("client %d, on the connection it has kept, got %d", i, got.status)
		}
	}
	fresh := 0
	for i := range limitsClients {
		if c, dialErr := dialClient(log, s.frontend(i%2)); dialErr == nil && c.post(largeBody/2).status == 200 {
			fresh++
		}
	}
	log.write("%d of %d on kept connections refused; %d of %d on new ones served", refused, len(clients), fresh,
		limitsClients)
	if allowed := 5 + float64(2*limitsClients+limitsClients)/500; float64(refused) > allowed {
		broken = append(broken, fmt.Sprintf("DENIED, CONFIG: %d proper requests got 413, later than config_apply after "+
			"the acknowledgement; %.2f are excused", refused, allowed))
	}
	return broken, nil
}

// post sends a request that may run once, with a body.
func (c *client) post(size int) (got answer) {
	id := nextID()
	text := head("POST", "/once/"+id, id, fmt.Sprintf("Content-Length: %d\r\n", size)) + "\r\n" + strings.Repeat("b", size)
	_, err := c.conn.Write([]byte(text))
	if err != nil {
		got.reason = err.Error()
	} else {
		got = c.read("POST", routeTimeout)
	}
	got.id = id
	c.record.write("sent %s to %s, body of %d bytes: %d %s", id, c.conn.RemoteAddr(), size, got.status, got.reason)
	return got
}
