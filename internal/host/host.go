/*
Package host assembles an entry host from the other packages and runs its process until the
context ends. An entry host accepts requests of callers and forwards them to backend
servers. Its configuration, the list of backend servers and the records of the other entry
hosts come from the platform's store. The packages bufferproxy, placement, quota and crashdetect
decide about each request; membership keeps what is known of the other hosts.

This package itself

  - answers lookups, with which callers ask for the addresses of entry hosts,
  - exchanges heartbeats and rate limit tokens with the other hosts,
  - reads the store's objects, or gets them from another host of its region,
  - and periodically computes which share of the load other regions should serve.

# Usage

	file := &host.SettingsFile{
		Path: path,
	}
	settings, err := file.Read()
	process := host.Process{
		Settings:     settings,
		SettingsFile: file,
		Log:          log,
	}
	err = process.Run(ctx)
*/
package host

import (
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/bufferproxy"
	"trefoilline.example/trefoilline/crashdetect"
	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/internal/connection"
	"trefoilline.example/trefoilline/internal/transport"
	"trefoilline.example/trefoilline/membership"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/placement"
	"trefoilline.example/trefoilline/platform"
	"trefoilline.example/trefoilline/quota"
)

// host is a running entry host.
type host struct {
	// currentSettings is the settings in force.
	currentSettings atomic.Pointer[Settings]
	// incarnation tells this run of the host apart from earlier ones. It is the start
	// time in nanoseconds.
	incarnation uint64
	startedAt   time.Time
	log         observe.Log
	// logLevel is the lowest level that is logged. It may be nil.
	logLevel *zap.AtomicLevel

	store         *platform.StoreClient
	pool          *placement.Pool
	limiter       *quota.Limiter
	roster        *membership.Roster
	client        *exchange.Client
	crashDetector *crashdetect.Detector
	handler       *bufferproxy.Handler
	// followers keep copies of the store's objects, by prefix.
	followers map[string]*objectstore.Follower
	// sources holds the source of each follower, by prefix.
	sources       map[string]*readerOrStoreSource
	peerMessenger peerMessenger

	draining atomic.Bool
	// serversLoaded and hostsLoaded are true once the backend servers and the host records
	// are known.
	serversLoaded atomic.Bool
	hostsLoaded   atomic.Bool
	// records holds the records of all hosts in the store as last read; nil before that.
	records atomic.Pointer[hostRecords]
	// joined is that of this host's record: of the one that the store has from before a restart,
	// or a new one.
	joined atomic.Uint64
	// part is this host's part of the teams' rates.
	part RatePart
	// partStatements holds what the other hosts said of their parts.
	partStatements quota.PartStatements
	// recordDue holds an element if this host's record may need a change soon.
	recordDue chan struct{}
	// divisionDue holds an element if this host's part may have changed.
	divisionDue chan struct{}
	// loanNeeded holds an element if the host is to ask for loans soon.
	loanNeeded   chan struct{}
	crashReports crashReportQueue
	invalid      invalidObjects
	// remoteShares holds the fraction of this region's load that other regions serve, by
	// service. It is nil until it is first computed.
	remoteShares atomic.Pointer[placement.RemoteShares]
	// regionPlans holds the plan of each service by which load is distributed across regions.
	regionPlans map[string]placement.RegionPlan
	// localShares is the fraction of each route's affinity keys that this region serves, as last set.
	localShares map[string]float64
	// ownership is what the owners of the teams' rates were last selected from.
	ownership ownershipInput
	// senders are the hosts that may send to cold and limited servers, by region.
	senders map[string][]string
	// lastRegionShareLog is when the remote and local shares were last logged.
	lastRegionShareLog time.Time
	lastPartLog        partLog
	callerHosts        callerHosts
}

// invalidObjects holds the invalid objects of the store that were logged, with the
// version for which each was logged last.
type invalidObjects struct {
	mu     sync.Mutex
	logged map[string]objectstore.Version
}

// crashReportQueue holds the recent crash reports and clearances that heartbeats carry to
// the other hosts.
type crashReportQueue struct {
	mu     sync.Mutex
	recent []crashdetect.Report
}

func newHost(settings Settings, log observe.Log) *host {
	var h *host
	h = &host{
		incarnation: uint64(time.Now().UnixNano()),
		startedAt:   time.Now(),
		log:         log,
		store: &platform.StoreClient{
			Address:   func() netip.AddrPort { return h.settings().StoreAddress },
			OnRestore: func(era uint64) { h.handleRestore(era) },
		},
		pool: &placement.Pool{
			Host:   settings.Host,
			Region: settings.Region,
		},
		limiter:     &quota.Limiter{},
		loanNeeded:  make(chan struct{}, 1),
		recordDue:   make(chan struct{}, 1),
		divisionDue: make(chan struct{}, 1),
		roster: &membership.Roster{
			Self: settings.Host,
		},
	}
	h.joined.Store(h.incarnation)
	h.limiter.Incarnation, h.limiter.StartedAt, h.limiter.OnShortage = h.incarnation, h.startedAt, h.requestLoanSoon
	// The client needs only the names of the headers between hosts and backend servers.
	// The handler below also needs how to read the callers' requests.
	dialect := platform.HeaderCodec.Dialect
	h.client = &exchange.Client{
		Dialect:               &dialect,
		ReuseForNonIdempotent: true,
		RequireID:             true,
		AllowCloseDelimited:   true,
		ConnectTimeout:        connectTimeout,
		IdleTimeout:           serverIdleTimeout,
		ResponseTimeout:       responseTimeout,
	}
	h.crashDetector = &crashdetect.Detector{
		Broadcast:      h.queueCrashReport,
		IsReachable:    h.isReachable,
		HasContact:     h.hasContactBeside,
		HasLostContact: h.hasLostContactBeside,
	}
	h.handler = &bufferproxy.Handler{
		Pool:        h.pool,
		RateLimiter: h.limiter,
		Client:      h.client,
		HeaderCodec: platform.HeaderCodec,
		RetryBudget: &bufferproxy.RetryBudget{
			HostCount: h.retrySharers,
		},
		CrashDetector: h.crashDetector,
		BorrowToken:   h.borrowToken,
		FindHost:      h.findHost,
		Keep:          connection.Keep,
		HostClient: &exchange.Client{
			Dialect:               &dialect,
			ReuseForNonIdempotent: true,
			ServersEchoID:         true,
			ConnectTimeout:        connectTimeout,
			ResponseTimeout:       responseTimeout,
		},
		Log: log,
	}
	h.applySettings(settings)
	h.peerMessenger.host = h
	h.peerMessenger.client.Transport = transport.New(heartbeatTimeout, idleTimeout, maxIdlePerPeer)
	h.peerMessenger.wake = make(chan struct{}, 1)
	h.addFollowers()
	return h
}

// Timeouts of connections to backend servers.
const (
	connectTimeout = 500 * time.Millisecond
	// serverIdleTimeout is shorter than the time after which backend servers close idle
	// connections, so that no request is sent on a connection that is being closed.
	serverIdleTimeout = 7 * time.Second
	responseTimeout   = 10 * time.Second
)

// settings returns the settings in force.
func (h *host) settings() Settings { return *h.currentSettings.Load() }

// hostCount returns the number of hosts that may be running, including this one.
func (h *host) hostCount() int {
	return len(h.roster.RecentPeers()) + len(h.roster.SilentPeers()) + 1
}

// retrySharers returns among how many hosts the burst of the retry budget is divided. A host whose lease has ended takes the least
// part, since the others no longer count it.
func (h *host) retrySharers() int {
	if h.hasLostLease() {
		return math.MaxInt
	}
	return h.hostCount()
}

// isReady reports whether the host accepts requests: the configuration, the backend servers
// and its shares of the team rates are known, and it is not draining.
func (h *host) isReady() bool {
	return h.handler.Configuration() != nil && h.serversLoaded.Load() && h.limiter.HasShares() && !h.draining.Load()
}

// record returns this host's record, which the store and heartbeats carry to other hosts.
func (h *host) record() membership.HostRecord {
	return membership.HostRecord{
		Name:          h.settings().Host,
		Region:        h.settings().Region,
		Zone:          h.settings().Zone,
		CallerAddress: h.settings().CallerAddress,
		PeerAddress:   h.settings().PeerAddress,
		ReadsDigests:  true,
		Joined:        h.joined.Load(),
		Forwards:      true,
		Lends:         true,
		Leased:        true,
		Size:          h.settings().Machine.size(),
	}
}

// liveHostsByRegion returns the names of the live hosts of each region, including this
// one.
func (h *host) liveHostsByRegion() map[string][]string {
	hosts := map[string][]string{
		h.settings().Region: {h.settings().Host},
	}
	for _, peer := range h.roster.LivePeers() {
		hosts[peer.Region] = append(hosts[peer.Region], peer.Name)
	}
	return hosts
}
