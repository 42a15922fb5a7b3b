package objectstore

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"trefoilline.example/trefoilline/internal/transport"
)

// DefaultTimeout is the timeout of the calls of a [Client] that sets none. A watch
// may take this long in addition to its wait time.
const DefaultTimeout = 2 * time.Second

// Paths of the store's HTTP API.
const (
	ObjectsPath  = "/v1/objects/"
	ListPath     = "/v1/list"
	WatchPath    = "/v1/watch"
	MachinesPath = "/v1/machines"
)

// Client calls the platform over HTTP. Only Address must be set. It is safe for
// concurrent use and never retries a call. It implements [Store] and [Directory].
//
// A read without a complete response in the store's format returns an
// [UnavailableError], since it can't have changed anything. A write without one
// returns an [UnavailableError] only if it got no connection, else an
// [UnknownOutcomeError].
type Client struct {
	// Address is the address of the platform.
	Address netip.AddrPort
	// HTTP is the HTTP client; nil means one that all clients of the process share.
	HTTP *http.Client
	// Timeout is the timeout of each call; zero means [DefaultTimeout].
	Timeout time.Duration
}

var (
	_ Store     = (*Client)(nil)
	_ Directory = (*Client)(nil)
)

// maxIdleConns is the largest number of idle connections that are kept to the store.
const maxIdleConns = 8

// defaultHTTPClient is the HTTP client of each [Client] that sets none.
var defaultHTTPClient = &http.Client{
	Transport: &transport.Checked{
		Base: transport.NewDefault(maxIdleConns),
	},
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return defaultHTTPClient
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return DefaultTimeout
}

// withTimeout limits a call to the client's timeout plus the wait time of a watch.
func (c *Client) withTimeout(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, wait+c.timeout())
}

// buildURL returns the URL of a call.
func (c *Client) buildURL(path string, query url.Values) string {
	u := url.URL{
		Scheme:   "http",
		Host:     c.Address.String(),
		Path:     path,
		RawQuery: query.Encode(),
	}
	return u.String()
}

// setCondition writes the condition to the header of a write request.
func setCondition(header http.Header, condition Condition) {
	switch condition := condition.(type) {
	case IfAbsent:
		header.Set("If-None-Match", "*")
	case IfVersion:
		header.Set("If-Match", strconv.Quote(strconv.FormatUint(uint64(condition.Version), 10)))
	case Always, nil:
	}
}
