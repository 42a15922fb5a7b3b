/*
Package daemon implements the trefoillined command, which is the process of an entry host.
An entry host stands between callers and backend servers, and forwards requests from one to
the other.

The command can run an entry host in two ways:

  - run: this package creates the components of the entry host from flags and environment
    variables. It serves callers' requests, look-ups and the messages of other entry hosts on
    one address. Most of this package belongs to this command.
  - serve: package internal/host creates the components of the entry host from a settings file.
    It uses the store and the header conventions that package platform describes. This package
    contains only the command itself.

Both drain the host on SIGTERM or SIGINT. The commands check and events print the settings and
the catalogue of log events.

# Usage

	if err := daemon.NewCommand().Execute(); err != nil {
		os.Exit(1)
	}
*/
package daemon

import (
	"sync/atomic"
	"time"

	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/crashdetect"
	"trefoilline.example/trefoilline/dedup"
	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/fleet/peer"
	"trefoilline.example/trefoilline/globallimit"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/streamproxy"
	"trefoilline.example/trefoilline/table"
	"trefoilline.example/trefoilline/ticket"
)

// Limits of the calls from one host to the store.
const (
	maxStoreReadsPerSecond  = 100
	maxStoreWritesPerSecond = 50
)

// daemon holds the components and the state of a running entry host.
type daemon struct {
	settings Settings
	// incarnation is the start time in milliseconds. It distinguishes this process from
	// earlier ones of the same host, which have a smaller one.
	incarnation uint64
	log         observe.Log
	metrics     *observe.Metrics

	// rateLimitedStore, store and machineDirectory are the same object, each with the
	// type that its users need.
	rateLimitedStore *objectstore.RateLimitedStore
	store            objectstore.Store
	machineDirectory objectstore.Directory

	tableReader table.Reader
	snapshots   table.SnapshotTracker
	keys        keyState

	pool             *backend.Pool
	router           *steer.Router
	plan             atomic.Pointer[steer.Plan]
	limiter          *globallimit.Limiter
	allocationSyncer *globallimit.AllocationSyncer
	// reportedLimiterViolations is how many invariant violations of the limiter have
	// been reported.
	reportedLimiterViolations uint64
	requestClient             *exchange.Client
	idempotencyKeys           *ticket.IdempotencyKeys
	admission                 *dedup.Deduplicator
	ticketRegistry            *ticket.Registry
	crashDetector             *crashdetect.Detector
	handler                   *streamproxy.Handler
	fleetNode                 *fleet.Node
	liveHosts                 atomic.Pointer[[]fleet.MemberRecord]
	hostMeasurements          latestMeasurements
	batchSender               batchSender
	fleetTransport            *peer.Transport
	objectCache               *peer.ObjectCache

	machines     atomic.Pointer[machineList]
	clientBlocks atomic.Pointer[steer.ClientBlocks]
	hostSelector atomic.Pointer[steer.HostSelector]
	draining     atomic.Bool
	// lastCleanup is when this host last deleted old idempotency keys.
	lastCleanup time.Time
}

// newDaemon creates the components of an entry host. It starts none of them.
func newDaemon(settings Settings, log observe.Log) *daemon {
	d := &daemon{
		settings:    settings,
		incarnation: uint64(time.Now().UnixMilli()),
		log:         log,
		metrics:     &observe.Metrics{},
	}
	d.setUpStore()
	d.setUpFleetNode()
	d.setUpFleetTransport()
	d.setUpLimiter()
	d.setUpSteering()
	d.setUpAdmission()
	d.setUpHandler()
	d.setUpViolationReporting()
	d.batchSender.host = settings.Host
	d.batchSender.address = d.addressOf
	d.batchSender.log = log
	d.batchSender.client = d.newFleetHTTPClient()
	return d
}

// setUpStore creates the client of the platform's store. It limits the rate of calls, so
// that a fault in one host cannot use up the calls that the platform serves to all
// hosts.
func (d *daemon) setUpStore() {
	client := &objectstore.Client{
		Address: d.settings.StoreAddress,
	}
	rateLimited := &objectstore.RateLimitedStore{
		Store:     client,
		Directory: client,
		Reads: objectstore.RateLimit{
			PerSecond: maxStoreReadsPerSecond,
			Burst:     2 * maxStoreReadsPerSecond,
		},
		Writes: objectstore.RateLimit{
			PerSecond: maxStoreWritesPerSecond,
			Burst:     2 * maxStoreWritesPerSecond,
		},
	}
	d.rateLimitedStore = rateLimited
	d.store = rateLimited
	d.machineDirectory = rateLimited
}

// setUpLimiter creates the limiter, which enforces limits shared by the fleet, and the
// component that synchronizes the allocation of the limits to hosts with the store.
func (d *daemon) setUpLimiter() {
	d.limiter = &globallimit.Limiter{
		Host:        d.settings.Host,
		Incarnation: d.incarnation,
		// Run listens on the host's only address first, so all earlier processes of
		// the host have ended.
		SoleProcess: true,
	}
	d.allocationSyncer = &globallimit.AllocationSyncer{
		Limiter: d.limiter,
		Store:   d.store,
	}
}

// setUpSteering creates the pool of backend servers and the router, which chooses the
// region of a request.
func (d *daemon) setUpSteering() {
	d.pool = &backend.Pool{
		SlotLimiter: &backend.SharedSlotLimiter{
			Limiter: d.limiter,
		},
	}
	d.router = &steer.Router{
		Region: d.settings.Region,
		Limiter: steer.SharedLimiter{
			Limiter: d.limiter,
		},
	}
}

// setUpAdmission creates the components that ensure that a request runs at most once, and
// the detector of requests that crash backend servers.
func (d *daemon) setUpAdmission() {
	d.requestClient = &exchange.Client{}
	d.ticketRegistry = &ticket.Registry{
		Host: d.settings.ListenAddress,
		// Tickets are valid for LookUpTTL, the maximum validity of a look-up answer.
		// drain waits for that time, so that no unused tickets are left.
		Validity: d.settings.LookUpTTL,
	}
	d.idempotencyKeys = &ticket.IdempotencyKeys{
		Store: d.store,
	}
	d.admission = &dedup.Deduplicator{
		Registry:        d.ticketRegistry,
		IdempotencyKeys: d.idempotencyKeys,
		Send:            d.requestClient.Send,
		IsEntryHost:     d.isEntryHost,
	}
	d.crashDetector = &crashdetect.Detector{
		Broadcast:   d.broadcastCrash,
		IsReachable: d.isReachable,
	}
}

// setUpHandler creates the HTTP handler of callers' requests.
func (d *daemon) setUpHandler() {
	d.handler = &streamproxy.Handler{
		Host:          d.settings.Host,
		Region:        d.settings.Region,
		KeyVerifier:   d,
		Pool:          d.pool,
		Router:        d.router,
		Client:        d.requestClient,
		RateLimiter:   d.limiter,
		Admission:     d.admission,
		CrashDetector: d.crashDetector,
		MaxTimeout:    d.settings.MaxRequestTimeout,
		Log:           d.log,
		Metrics:       d.metrics,
	}
}
