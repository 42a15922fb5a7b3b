/*
Package daemon is trefoillined: it wires the packages of an entry host together
and runs them until it is told to stop.

# Usage

	if err := daemon.NewCommand().Execute(); err != nil {
		os.Exit(1)
	}
*/
package daemon

import (
	"sync/atomic"
	"time"

	"trefoilline.example/trefoilline/admission"
	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/entry"
	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/fleet/peer"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/share"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/suspect"
	"trefoilline.example/trefoilline/table"
	"trefoilline.example/trefoilline/ticket"
)

// What one host may ask of the store, in calls per second.
const (
	storeReads  = 100
	storeWrites = 50
)

// daemon is one run of an entry host.
type daemon struct {
	settings    Settings
	incarnation uint64
	log         observe.Log
	measures    *observe.Metrics

	budget    *objectstore.RateLimitedStore
	store     objectstore.Store
	directory objectstore.Directory

	reader table.Reader
	tables table.SnapshotTracker
	keys   keys

	pool   *backend.Pool
	router *steer.Router
	plan   atomic.Pointer[steer.Plan]
	limits *share.Limiter
	keeper *share.AllocationSyncer
	// limitFaults is how many broken invariants of the limits were reported.
	limitFaults uint64
	client      *exchange.Client
	claims      *ticket.Claims
	desk        *admission.Desk
	register    *ticket.Register
	suspects    *suspect.Detector
	handler     *entry.Handler
	node        *fleet.Node
	members     atomic.Pointer[[]fleet.MemberRecord]
	reports     reports
	peers       peers
	exchange    *peer.Transport
	objects     *peer.ObjectCache

	machines atomic.Pointer[machineList]
	blocks   atomic.Pointer[steer.ClientBlocks]
	lookup   atomic.Pointer[steer.HostSelector]
	leaving  atomic.Bool
	// swept is when this host last swept the claims.
	swept time.Time
}

// newDaemon wires the parts; nothing runs yet.
func newDaemon(settings Settings, log observe.Log) *daemon {
	d := &daemon{
		settings:    settings,
		incarnation: uint64(time.Now().UnixMilli()),
		log:         log,
		measures:    &observe.Metrics{},
	}
	d.wireStore()
	d.wireFleet()
	d.wireCarriers()
	d.wireLimits()
	d.wireSteering()
	d.wireAdmission()
	d.wireHandler()
	d.wireInvariants()
	d.peers.host = settings.Host
	d.peers.address = d.addressOf
	d.peers.log = log
	d.peers.client = d.fleetClient()
	return d
}

// wireStore sets up the platform's client with a budget of calls, so that a
// fault of one host cannot use up what the platform serves all of them.
func (d *daemon) wireStore() {
	client := &objectstore.Client{
		Address: d.settings.Store,
	}
	budgeted := &objectstore.RateLimitedStore{
		Store:     client,
		Directory: client,
		Reads: objectstore.RateLimit{
			PerSecond: storeReads,
			Burst:     2 * storeReads,
		},
		Writes: objectstore.RateLimit{
			PerSecond: storeWrites,
			Burst:     2 * storeWrites,
		},
	}
	d.budget = budgeted
	d.store = budgeted
	d.directory = budgeted
}

func (d *daemon) wireLimits() {
	d.limits = &share.Limiter{
		Host:        d.settings.Host,
		Incarnation: d.incarnation,
		SoleProcess: true,
	}
	d.keeper = &share.AllocationSyncer{
		Limiter: d.limits,
		Store:   d.store,
	}
}

func (d *daemon) wireSteering() {
	d.pool = &backend.Pool{
		Slots: &backend.Shared{
			Holder: d.limits,
		},
	}
	d.router = &steer.Router{
		Region: d.settings.Region,
		Limits: steer.SharedLimits{
			Holder: d.limits,
		},
	}
}

// wireAdmission sets up what lets a request run at most once.
func (d *daemon) wireAdmission() {
	d.client = &exchange.Client{}
	d.register = &ticket.Register{
		Host:     d.settings.Listen,
		Validity: d.settings.LookUpValidity,
	}
	d.claims = &ticket.Claims{
		Store: d.store,
	}
	d.desk = &admission.Desk{
		Register: d.register,
		Claims:   d.claims,
		Send:     d.client.Send,
		IsHost:   d.isEntryHost,
	}
	d.suspects = &suspect.Detector{
		Broadcast:   d.shareLoss,
		IsReachable: d.answers,
	}
}

func (d *daemon) wireHandler() {
	d.handler = &entry.Handler{
		Host:     d.settings.Host,
		Region:   d.settings.Region,
		Keys:     d,
		Pool:     d.pool,
		Router:   d.router,
		Client:   d.client,
		Limits:   d.limits,
		Desk:     d.desk,
		Suspects: d.suspects,
		Deadline: d.settings.RequestDeadline,
		Log:      d.log,
		Measures: d.measures,
	}
}
