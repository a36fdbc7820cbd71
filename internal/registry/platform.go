package registry

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/valyala/fastjson"
	"github.com/zeebo/errs"

	"tinpin/internal/http1"
	"tinpin/internal/rpc"
)

// Class marks failures to read the platform's list.
var Class = errs.Class("registry")

// ErrInvalidPage marks pages of the platform's list that are not as its protocol has
// them.
var ErrInvalidPage = errors.New("invalid page of the endpoint list")

const (
	// platformDialTimeout, platformAckTimeout and platformTimeout bound the wait for a
	// connection to the platform, for its acknowledgements and for a page.
	platformDialTimeout = 500 * time.Millisecond
	platformAckTimeout  = 1500 * time.Millisecond
	platformTimeout     = 2 * time.Second
	platformIdleTimeout = 30 * time.Second
	// maxPageBytes and maxPages bound what the platform can make the leader read.
	maxPageBytes = 16 << 20
	maxPages     = 1000
)

// invalidPage is an ErrInvalidPage with what is wrong.
func invalidPage(format string, arguments ...any) (err error) {
	return Class.Wrap(fmt.Errorf("%w: %s", ErrInvalidPage, fmt.Sprintf(format, arguments...)))
}

// ParsePage reads one page of the list, with the token of the next one.
func ParsePage(body []byte) (endpoints []rpc.Endpoint, next string, err error) {
	page, err := fastjson.ParseBytes(body)
	if err != nil {
		return nil, "", invalidPage("it is not JSON")
	}
	table := page.Get("instances")
	if table == nil || table.Get("column_names") == nil || table.Get("row_values") == nil {
		return nil, "", invalidPage("it lacks instances with column_names and row_values")
	}
	var columns []string
	for _, column := range table.GetArray("column_names") {
		columns = append(columns, string(column.GetStringBytes()))
	}
	for _, row := range table.GetArray("row_values") {
		endpoint, err := parseRow(columns, row.GetArray())
		if err != nil {
			return nil, "", err
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints, string(page.GetStringBytes("next_page_token")), nil
}

// parseRow reads one endpoint. Columns that are not known are passed over.
func parseRow(columns []string, cells []*fastjson.Value) (endpoint rpc.Endpoint, err error) {
	if len(cells) != len(columns) {
		return endpoint, invalidPage("a row has %d cells for %d columns", len(cells), len(columns))
	}
	for i, cell := range cells {
		switch columns[i] {
		case "instance_id":
			endpoint.ID = rpc.EndpointID(cell.GetStringBytes())
		case "service_name":
			endpoint.Service = rpc.ServiceName(cell.GetStringBytes())
		case "address":
			endpoint.Address = string(cell.GetStringBytes())
		case "zone":
			endpoint.Zone = rpc.ZoneName(cell.GetStringBytes())
		case "capacity_slots":
			endpoint.Slots = cell.GetInt()
		case "state":
			endpoint.Draining = string(cell.GetStringBytes()) == "draining"
		case "cold_remaining":
			if cell.Type() == fastjson.TypeString {
				if endpoint.WarmupRemaining, err = time.ParseDuration(string(cell.GetStringBytes())); err != nil {
					return endpoint, invalidPage("cold_remaining is no duration")
				}
			}
		}
	}
	if endpoint.ID == "" || endpoint.Address == "" || endpoint.Service == "" {
		return endpoint, invalidPage("a row lacks its instance_id, address or service_name")
	}
	return endpoint, nil
}

// PlatformClient reads the platform's list.
type PlatformClient struct {
	Address string
	client  *http.Client
}

// NewPlatformClient makes a client of the platform at an address.
func NewPlatformClient(address string) (client *PlatformClient) {
	dialer := &net.Dialer{Timeout: platformDialTimeout, Control: rpc.UserTimeout(platformAckTimeout), KeepAlive: -1}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 1, IdleConnTimeout: platformIdleTimeout, DisableCompression: true,
	}
	return &PlatformClient{Address: address, client: &http.Client{Transport: transport, Timeout: platformTimeout}}
}

// Walk reads all pages with a pause between them, hands over each as it comes, and
// returns the whole list.
func (p *PlatformClient) Walk(
	pause time.Duration, each func(page []rpc.Endpoint),
) (endpoints []rpc.Endpoint, pages int, err error) {
	token := ""
	for {
		body, read, err := p.fetch(token)
		if read {
			pages++
		}
		if err != nil {
			return nil, pages, err
		}
		page, next, err := ParsePage(body)
		if err != nil {
			return nil, pages, err
		}
		each(page)
		endpoints = append(endpoints, page...)
		if next == "" {
			return endpoints, pages, nil
		}
		if pages > maxPages || strings.TrimSpace(next) == token {
			return nil, pages, Class.New("the platform's pages do not end")
		}
		token = next
		time.Sleep(pause)
	}
}

// fetch reads one page. It reports whether the platform responded at all.
func (p *PlatformClient) fetch(token string) (body []byte, responded bool, err error) {
	target := "http://" + p.Address + "/instances"
	if token != "" {
		target += "?page_token=" + url.QueryEscape(token)
	}
	response, err := p.client.Get(target)
	if err != nil {
		return nil, false, Class.Wrap(err)
	}
	body, err = io.ReadAll(io.LimitReader(response.Body, maxPageBytes))
	_ = response.Body.Close()
	if err = errors.Join(err, http1.CheckParsed(response)); err != nil {
		return nil, true, Class.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, true, Class.New("the platform answered %d", response.StatusCode)
	}
	return body, true, nil
}
