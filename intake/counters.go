package intake

import (
	"net/http"
	"sync/atomic"
)

// Counters is how requests ended on this host, since its start.
type Counters struct {
	answered  atomic.Uint64
	left      atomic.Uint64
	overRate  atomic.Uint64
	refused   atomic.Uint64
	unknown   atomic.Uint64
	forbidden atomic.Uint64
}

// count counts a request that ended with a status of this host's own.
func (c *Counters) count(status int) {
	switch status {
	case http.StatusTooManyRequests:
		c.overRate.Add(1)
	case http.StatusServiceUnavailable:
		c.refused.Add(1)
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		c.unknown.Add(1)
	default:
		c.forbidden.Add(1)
	}
}
