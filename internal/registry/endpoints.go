// The platform's list of backends, read page by page. What a page shows counts
// at once, since a draining backend must not wait for the pages behind it; what
// a walk does not show counts only if the walk was whole, and an entry is gone
// only after a second whole walk did not show it either, unless it was
// draining.
package registry

import (
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/valyala/fastjson"
	"github.com/zeebo/errs"

	"tinpin/internal/rpc"
)

// Class marks failures of the census.
var Class = errs.Class("census")

// ParsePage reads one page of the list.
func ParsePage(body []byte) (servers []rpc.Endpoint, next string, err error) {
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return nil, "", Class.New("the list is not JSON")
	}
	table := v.Get("instances")
	if table == nil || table.Get("column_names") == nil || table.Get("row_values") == nil {
		return nil, "", Class.New("the list lacks its instances")
	}
	var columns []string
	for _, column := range table.GetArray("column_names") {
		columns = append(columns, string(column.GetStringBytes()))
	}
	for _, row := range table.GetArray("row_values") {
		cells := row.GetArray()
		if len(cells) != len(columns) {
			return nil, "", Class.New("a row of the list does not fit its columns")
		}
		var server rpc.Endpoint
		for i, cell := range cells {
			switch columns[i] {
			case "instance_id":
				server.ID = rpc.EndpointID(cell.GetStringBytes())
			case "service_name":
				server.Service = rpc.ServiceName(cell.GetStringBytes())
			case "address":
				server.Address = string(cell.GetStringBytes())
			case "zone":
				server.Zone = rpc.ZoneName(cell.GetStringBytes())
			case "capacity_slots":
				server.Slots = cell.GetInt()
			case "state":
				server.Draining = string(cell.GetStringBytes()) == "draining"
			case "cold_remaining":
				if cell.Type() == fastjson.TypeString {
					if server.WarmupRemaining, err = time.ParseDuration(string(cell.GetStringBytes())); err != nil {
						return nil, "", Class.New("cold_remaining is no time")
					}
				}
			}
		}
		if server.ID == "" || server.Address == "" || server.Service == "" {
			return nil, "", Class.New("a row of the list lacks its id, address or service")
		}
		servers = append(servers, server)
	}
	return servers, string(v.GetStringBytes("next_page_token")), nil
}

// PlatformClient asks the platform for its list.
type PlatformClient struct {
	Address string
	client  *http.Client
}

// NewPlatformClient makes a caller of the platform.
func NewPlatformClient(address string) (platform *PlatformClient) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 500 * time.Millisecond, Control: rpc.UserTimeout(1500 * time.Millisecond), KeepAlive: -1}).DialContext,
		MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}
	return &PlatformClient{Address: address, client: &http.Client{Transport: transport, Timeout: 2 * time.Second}}
}

// Walk reads all pages, tells each as it comes, and gives the whole.
func (p *PlatformClient) Walk(pause time.Duration, each func(page []rpc.Endpoint)) (servers []rpc.Endpoint, pages int, err error) {
	token := ""
	for {
		target := "http://" + p.Address + "/instances"
		if token != "" {
			target += "?page_token=" + url.QueryEscape(token)
		}
		response, getErr := p.client.Get(target)
		if getErr != nil {
			return nil, pages, Class.Wrap(getErr)
		}
		body, readErr := io.ReadAll(io.LimitReader(response.Body, 16<<20))
		_ = response.Body.Close()
		pages++
		if readErr != nil {
			return nil, pages, Class.Wrap(readErr)
		}
		if response.StatusCode != http.StatusOK {
			return nil, pages, Class.New("the platform answered %d", response.StatusCode)
		}
		page, next, pageErr := ParsePage(body)
		if pageErr != nil {
			return nil, pages, pageErr
		}
		each(page)
		servers = append(servers, page...)
		if next == "" {
			return servers, pages, nil
		}
		if pages > 1000 || strings.TrimSpace(next) == token {
			return nil, pages, Class.New("the platform's pages do not end")
		}
		token = next
		time.Sleep(pause)
	}
}

// EndpointList merges walks into a ledger.
type EndpointList struct {
	Endpoints *ChangeLog[rpc.EndpointID, rpc.Endpoint]
	missed    map[rpc.EndpointID]int
	Complete  bool
}

// NewEndpointList is an empty list.
func NewEndpointList(clock *RevisionCounter) (list *EndpointList) {
	return &EndpointList{Endpoints: NewChangeLog[rpc.EndpointID, rpc.Endpoint](clock), missed: map[rpc.EndpointID]int{}}
}

// ApplyPage takes what one page shows. The cold spell is kept as first told, since a
// remainder that shrinks is no change.
func (l *EndpointList) ApplyPage(page []rpc.Endpoint) (changed bool, fresh []rpc.Endpoint) {
	for _, server := range page {
		delete(l.missed, server.ID)
		old, known := l.Endpoints.Get(server.ID)
		if known {
			server.WarmupRemaining = old.WarmupRemaining
			server.Draining = server.Draining || old.Draining
		} else {
			fresh = append(fresh, server)
		}
		if l.Endpoints.Set(server.ID, server) {
			changed = true
		}
	}
	return changed, fresh
}

// FinishWalk takes a whole walk, whose pages were taken before, and strikes out
// what it does not show.
func (l *EndpointList) FinishWalk(walk []rpc.Endpoint) (changed bool) {
	changed = !l.Complete
	l.Complete = true
	shown := make(map[rpc.EndpointID]bool, len(walk))
	for _, server := range walk {
		shown[server.ID] = true
	}
	var gone []rpc.EndpointID
	l.Endpoints.Each(func(id rpc.EndpointID, server rpc.Endpoint) {
		if shown[id] {
			return
		}
		l.missed[id]++
		if l.missed[id] >= 2 || server.Draining {
			gone = append(gone, id)
		}
	})
	for _, id := range gone {
		delete(l.missed, id)
		l.Endpoints.Remove(id)
		changed = true
	}
	return changed
}
