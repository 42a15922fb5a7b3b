package host

import (
	"time"

	"trefoilline.example/trefoilline/internal/connection"
	"trefoilline.example/trefoilline/routing"
)

// ListenerKind is what a listener of the host serves.
type ListenerKind int

// The listeners of a host.
const (
	CallerListener ListenerKind = iota
	ReadyListener
	LookupListener
	PeerListener
	MetricsListener
)

// The limits of a listener's connections. A host has several listeners, so that callers can't exhaust the capacity for the
// others.
type listenerShare struct {
	name string
	// fallback is the limit if the machine is not known.
	fallback int
	// descriptors is the part of the file descriptors, one in so many, and memory that of the memory.
	descriptors, memory int
	// least is the lowest limit.
	least int
}

// listenerShares are the limits by listener. A third of the descriptors is left for connections to backend servers, other hosts
// and the store. At 4,100 descriptors and 184 MB, the least of any host, they allow 1,247 connections of callers, 233 of lookups
// and 233 of other hosts; a relay of a region in a fleet of 650 hosts has about 220 of these.
var listenerShares = [...]listenerShare{
	CallerListener: {
		name:        "callers",
		fallback:    4096,
		descriptors: 2,
		memory:      3,
		least:       32,
	},
	ReadyListener: {
		name:        "ready",
		fallback:    64,
		descriptors: 64,
		memory:      64,
		least:       16,
	},
	LookupListener: {
		name:        "look-ups",
		fallback:    512,
		descriptors: 16,
		memory:      16,
		least:       16,
	},
	PeerListener: {
		name:        "peers",
		fallback:    1024,
		descriptors: 16,
		memory:      16,
		least:       16,
	},
	MetricsListener: {
		name:        "metrics",
		fallback:    64,
		descriptors: 64,
		memory:      64,
		least:       16,
	},
}

const (
	// reservedDescriptors are those that the process needs for files.
	reservedDescriptors = 200
	// connectionBytes is the memory of a connection with a header of 24 KiB that is being read. Measured with 1,400 of
	// them: 63 KB, of which a part is garbage; without a header 26 KB.
	connectionBytes = 48 << 10
	// megabyte is the unit of Machine.MemoryMegabytes.
	megabyte = 1_000_000
)

// maxConnections returns how many connections of a listener may be open on a machine.
func (s listenerShare) maxConnections(m Machine) int {
	limit := 0
	if m.Descriptors > 0 {
		limit = max(s.least, (m.Descriptors-reservedDescriptors)/s.descriptors)
	}
	if m.MemoryMegabytes > 0 {
		byMemory := max(s.least, int(m.MemoryMegabytes*megabyte/connectionBytes)/s.memory)
		if limit == 0 || byMemory < limit {
			limit = byMemory
		}
	}
	if limit == 0 {
		return s.fallback
	}
	return limit
}

// The limits while the configuration is not known.
const (
	maxHeaderBytes = 256 << 10
	headerTimeout  = 5 * time.Second
	// idleTimeout is also how long idle connections to other hosts are kept.
	idleTimeout = 2 * time.Minute
)

// By how much callers may exceed the configured limits, so that none is affected that stays within them: the start of a
// body is read together with the end of its header, and a header may wait on its way.
const (
	headerSlackBytes = 8 << 10
	headerSlackTime  = 2 * time.Second
	idleSlack        = 5 * time.Second
)

// leastInternalHeaderBytes is the lowest limit of headers from other hosts, of lookups and of the platform's checks, whatever
// the configuration allows callers.
const leastInternalHeaderBytes = 24 << 10

// LimitsFor returns the limits of a listener on a machine, with the configured limits of callers. Those of the configuration are
// zero while it is not known. The times of callers are not applied to other hosts, unless they are longer.
func LimitsFor(kind ListenerKind, m Machine, configured routing.Limits) connection.Limits {
	limits := connection.Limits{
		MaxConnections: listenerShares[kind].maxConnections(m),
		MaxHeaderBytes: maxHeaderBytes,
		HeaderTimeout:  headerTimeout,
		IdleTimeout:    idleTimeout,
	}
	isCallers := kind == CallerListener
	if configured.MaxHeaderBytes > 0 {
		limits.MaxHeaderBytes = configured.MaxHeaderBytes + headerSlackBytes
	}
	if !isCallers {
		limits.MaxHeaderBytes = max(limits.MaxHeaderBytes, leastInternalHeaderBytes)
	}
	if configured.HeaderTimeout > 0 && (isCallers || configured.HeaderTimeout+headerSlackTime > headerTimeout) {
		limits.HeaderTimeout = configured.HeaderTimeout + headerSlackTime
	}
	if configured.IdleTimeout > 0 && isCallers {
		limits.IdleTimeout = configured.IdleTimeout + idleSlack
	}
	return limits
}

// limits returns the limits of a listener that are in force.
func (h *host) limits(kind ListenerKind) connection.Limits {
	var configured routing.Limits
	if index := h.handler.Configuration(); index != nil {
		configured = index.Limits
	}
	return LimitsFor(kind, h.settings().Machine, configured)
}
