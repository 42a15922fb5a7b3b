/*
Package host wires an entry host whose configuration and backend servers come from
the platform's store, and runs it until it is told to stop. It decides nothing.

# Usage

	file := &host.SettingsFile{
		Path: path,
	}
	settings, err := file.Read()
	process := host.Process{
		Settings: settings,
		File:     file,
		Log:      log,
	}
	err = process.Run(ctx)
*/
package host

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/intake"
	"trefoilline.example/trefoilline/internal/transport"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/placement"
	"trefoilline.example/trefoilline/platform"
	"trefoilline.example/trefoilline/quota"
	"trefoilline.example/trefoilline/roster"
	"trefoilline.example/trefoilline/suspect"
)

// host is one run of an entry host.
type host struct {
	// current is the settings in force.
	current     atomic.Pointer[Settings]
	incarnation uint64
	log         observe.Log
	// level is from which level on events are logged; it may be nil.
	level *zap.AtomicLevel

	store    *platform.StoreClient
	pool     *placement.Pool
	book     *quota.Limiter
	roster   *roster.Roster
	client   *exchange.Client
	suspects *suspect.Detector
	handler  *intake.Handler
	// followers follow the store, by prefix.
	followers map[string]*objectstore.Follower
	// sources are where they follow, by prefix.
	sources map[string]*source
	peers   peers

	leaving atomic.Bool
	// knowsPool and knowsHosts tell that the backend servers and the other hosts
	// are known.
	knowsPool  atomic.Bool
	knowsHosts atomic.Bool
	losses     losses
	unusable   unusable
	// away is the share of each service's load that has its places elsewhere.
	away atomic.Pointer[placement.RemoteShares]
	// told is when the parts were last logged.
	told time.Time
}

// unusable is which objects of the store were told to be unusable, at which version.
type unusable struct {
	mu   sync.Mutex
	told map[string]objectstore.Version
}

// losses are those that this host tells the others of.
type losses struct {
	mu     sync.Mutex
	recent []suspect.Report
}

func newHost(settings Settings, log observe.Log) *host {
	var h *host
	h = &host{
		incarnation: uint64(time.Now().UnixNano()),
		log:         log,
		store: &platform.StoreClient{
			Address: func() netip.AddrPort { return h.settings().StoreAddress },
		},
		pool: &placement.Pool{
			Host:   settings.Host,
			Region: settings.Region,
		},
		book: &quota.Limiter{},
		roster: &roster.Roster{
			Self: settings.Host,
		},
	}
	dialect := platform.HeaderCodec.Dialect
	h.client = &exchange.Client{
		Dialect:               &dialect,
		ReuseForNonIdempotent: true,
		AllowCloseDelimited:   true,
		ConnectTimeout:        connectTimeout,
		IdleTimeout:           keptFor,
		ResponseTimeout:       answerTimeout,
	}
	h.suspects = &suspect.Detector{
		Broadcast:   h.shareLoss,
		IsReachable: h.answers,
	}
	h.handler = &intake.Handler{
		Pool:        h.pool,
		RateLimiter: h.book,
		Client:      h.client,
		HeaderCodec: platform.HeaderCodec,
		RetryBudget: &intake.RetryBudget{
			HostCount: h.hostCount,
		},
		CrashDetector: h.suspects,
		BorrowToken:   h.borrow,
		Log:           log,
	}
	h.setBounds(settings)
	h.peers.host = h
	h.peers.client.Transport = transport.New(beatTimeout, idleTimeout, peerConnections)
	h.peers.kick = make(chan struct{}, 1)
	h.follow()
	return h
}

// How connections to backend servers are used.
const (
	connectTimeout = 500 * time.Millisecond
	// keptFor is below the time after which backend servers close idle
	// connections, so that a request does not meet the close.
	keptFor       = 7 * time.Second
	answerTimeout = 10 * time.Second
)

// settings returns the settings in force.
func (h *host) settings() Settings { return *h.current.Load() }

// hostCount is how many hosts there are, this one among them.
func (h *host) hostCount() int {
	return len(h.roster.RecentPeers()) + len(h.roster.SilentPeers()) + 1
}

// isReady tells whether the host takes callers.
func (h *host) isReady() bool {
	return h.handler.Configuration() != nil && h.knowsPool.Load() && h.book.HasShares() && !h.leaving.Load()
}

// record is what the store tells other hosts of this one.
func (h *host) record() roster.HostRecord {
	return roster.HostRecord{
		Name:          h.settings().Host,
		Region:        h.settings().Region,
		Zone:          h.settings().Zone,
		CallerAddress: h.settings().CallerAddress,
		PeerAddress:   h.settings().PeerAddress,
	}
}

// regionHosts returns the live hosts of each region.
func (h *host) regionHosts() map[string][]string {
	hosts := map[string][]string{
		h.settings().Region: {h.settings().Host},
	}
	for _, b := range h.roster.LivePeers() {
		hosts[b.Region] = append(hosts[b.Region], b.Name)
	}
	return hosts
}
