package objectstore

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"
)

// DefaultTimeout bounds a call of a [Client] that sets none. A watch may take
// this long on top of its wait.
const DefaultTimeout = 2 * time.Second

// Paths of the store's interface.
const (
	ObjectsPath  = "/v1/objects/"
	ListPath     = "/v1/list"
	WatchPath    = "/v1/watch"
	MachinesPath = "/v1/machines"
)

// Client calls the platform over HTTP. It works once Base is set, is safe for
// concurrent use and never repeats a call. It implements [Store] and
// [Directory].
//
// A read that brings no whole answer is an [UnavailableError], since it can't
// have changed anything. A write that brings none is an [UnavailableError] only
// if no connection was made for it, else an [UnknownOutcomeError].
type Client struct {
	// Address is where the platform listens.
	Address netip.AddrPort
	// HTTP carries the calls; nil means a client of its own for the process.
	HTTP *http.Client
	// Timeout bounds each call; zero means [DefaultTimeout].
	Timeout time.Duration
}

var (
	_ Store     = (*Client)(nil)
	_ Directory = (*Client)(nil)
)

// sharedHTTP is used by clients that bring none.
var sharedHTTP = &http.Client{
	Transport: newTransport(),
}

// newTransport keeps a few connections to the store and uses no proxy.
func newTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.MaxIdleConnsPerHost = 8
	return t
}

func (c *Client) http() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return sharedHTTP
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return DefaultTimeout
}

// withDeadline bounds a call by the client's timeout and what it may wait.
func (c *Client) withDeadline(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, wait+c.timeout())
}

// target is the URL of a call.
func (c *Client) target(path string, query url.Values) string {
	u := url.URL{
		Scheme:   "http",
		Host:     c.Address.String(),
		Path:     path,
		RawQuery: query.Encode(),
	}
	return u.String()
}

// setCondition puts the condition into the header of a write.
func setCondition(header http.Header, condition Condition) {
	switch condition := condition.(type) {
	case IfAbsent:
		header.Set("If-None-Match", "*")
	case IfVersion:
		header.Set("If-Match", strconv.Quote(strconv.FormatUint(uint64(condition.Version), 10)))
	case Always, nil:
	}
}
