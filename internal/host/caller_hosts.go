package host

import (
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/membership"
	"trefoilline.example/trefoilline/observe"
)

// callerHostsAge is how long lookups of a region name the hosts that were selected, so that the selection
// costs little per lookup.
const callerHostsAge = 100 * time.Millisecond

// callerHosts holds which hosts lookups name, by region.
type callerHosts struct {
	mu      sync.Mutex
	regions map[string]*callerRegion
}

// callerRegion is the selection of a region.
type callerRegion struct {
	tiers      membership.CallerTiers
	selected   []netip.AddrPort
	selectedAt time.Time
	// offered is how many hosts were selected from.
	offered int
}

// selectCallerHosts returns the addresses of the hosts that a lookup of the region names, given all that accept
// callers there.
func (h *host) selectCallerHosts(region string, hosts []membership.HostRecord) []netip.AddrPort {
	h.callerHosts.mu.Lock()
	defer h.callerHosts.mu.Unlock()
	r := h.callerHosts.region(region)
	now := time.Now()
	if r.offered == len(hosts) && now.Sub(r.selectedAt) < callerHostsAge {
		return r.selected
	}
	selected := r.tiers.Select(hosts, h.regionCallerLoad(region))
	if len(selected) != len(r.selected) {
		h.log.Write(observe.CallerHostsSelected, zap.String("region", region), zap.Int("named", len(selected)), zap.Int("hosts", len(hosts)))
	}
	r.selected, r.selectedAt, r.offered = nil, now, len(hosts)
	for _, record := range selected {
		r.selected = append(r.selected, record.CallerAddress)
	}
	return r.selected
}

// region returns the selection of a region.
func (c *callerHosts) region(name string) *callerRegion {
	if c.regions == nil {
		c.regions = make(map[string]*callerRegion)
	}
	r, found := c.regions[name]
	if !found {
		r = &callerRegion{}
		c.regions[name] = r
	}
	return r
}

// callerLoad returns the load of this host's callers.
func (h *host) callerLoad() membership.CallerLoad {
	requests, bytes := h.handler.CallerLoad()
	return membership.CallerLoad{
		Requests: requests,
		Megabits: bytes * bitsPerByte / bitsPerMegabit,
	}
}

const (
	bitsPerByte    = 8
	bitsPerMegabit = 1e6
)

// regionCallerLoad returns the load of a region's callers, as far as this host knows.
func (h *host) regionCallerLoad(region string) membership.CallerLoad {
	if summary, isSummarized := h.regionSummaries()[region]; isSummarized {
		return summary.CallerLoad
	}
	var load membership.CallerLoad
	if region == h.settings().Region {
		load = h.callerLoad()
	}
	for _, peer := range h.roster.LivePeers() {
		if peer.Region == region {
			load = load.Add(peer.CallerLoad)
		}
	}
	return load
}
