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

	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/entry"
	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/platform"
	"trefoilline.example/trefoilline/share"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/table"
	"trefoilline.example/trefoilline/team"
)

// daemon is one run of an entry host.
type daemon struct {
	settings    Settings
	incarnation uint64
	log         observe.Log
	measures    *observe.Measures

	store     platform.Store
	directory platform.Directory

	reader table.Reader
	tables table.Follower
	keys   team.Holder
	keysOK atomic.Bool

	pool    *backend.Pool
	limits  *share.Holder
	keeper  *share.Keeper
	handler *entry.Handler
	peers   peers
	heard   heard

	machines atomic.Pointer[machineList]
	blocks   atomic.Pointer[steer.Blocks]
	lookup   atomic.Pointer[steer.Lookup]
	leaving  atomic.Bool
}

// newDaemon wires the parts; nothing runs yet.
func newDaemon(settings Settings, log observe.Log) *daemon {
	client := &platform.Client{
		Base: settings.Store,
	}
	d := &daemon{
		settings:    settings,
		incarnation: uint64(time.Now().UnixNano()),
		log:         log,
		measures:    &observe.Measures{},
		store:       client,
		directory:   client,
	}
	d.wireInvariants()
	d.wireLimits()
	d.wireHandler()
	d.peers.host = settings.Host
	d.peers.address = d.addressOf
	d.peers.secret = settings.FleetSecret
	d.peers.log = log
	return d
}

func (d *daemon) wireLimits() {
	d.limits = &share.Holder{
		Host:        d.settings.Host,
		Incarnation: d.incarnation,
		Exclusive:   true,
	}
	d.keeper = &share.Keeper{
		Holder: d.limits,
		Store:  d.store,
	}
}

func (d *daemon) wireHandler() {
	d.handler = &entry.Handler{
		Host:   d.settings.Host,
		Region: d.settings.Region,
		Keys:   d,
		Pool:   d.pool,
		Client: &exchange.Client{
			Violated: func(v exchange.Violation) {
				d.violated("sent-once", v.Request)
			},
		},
		Limits:   d.limits,
		Deadline: d.settings.RequestDeadline,
		Log:      d.log,
		Measures: d.measures,
	}
}
