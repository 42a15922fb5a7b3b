package daemon

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"trefoilline.example/trefoilline/api/trefoilline/v1/trefoillinev1connect"
	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/fleet/peer"
	"trefoilline.example/trefoilline/internal/secret"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/share"
)

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// fleetWait is how long a starting host waits to meet the others.
	fleetWait = 5 * time.Second
)

// Run serves until the context ends, then leaves the fleet and returns when the
// last request is done.
func Run(ctx context.Context, settings Settings) error {
	log := newLog(os.Stderr, settings.Host, settings.LogFormat, zap.NewAtomicLevelAt(settings.LogLevel))
	listener, err := net.Listen("tcp", settings.Listen.String())
	if err != nil {
		return &ListenError{
			Address: settings.Listen.String(),
			Cause:   err,
		}
	}
	d := newDaemon(settings, log)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var loops sync.WaitGroup
	d.startLoops(background, &loops)

	server := &http.Server{
		Handler:           d.routes(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	d.log.Write(observe.Started, zap.String("host", settings.Host), zap.Uint64("incarnation", d.incarnation),
		zap.String("address", listener.Addr().String()))
	select {
	case err = <-failed:
	case <-ctx.Done():
		err = d.leave(server)
	}
	stop()
	loops.Wait()
	return err
}

// startLoops starts what runs beside the requests.
func (d *daemon) startLoops(ctx context.Context, loops *sync.WaitGroup) {
	d.peers.start(ctx)
	loops.Go(func() { d.followMachines(ctx) })
	d.startFleet(ctx, loops.Go)
	loops.Go(func() { d.writePlan(ctx) })
	loops.Go(func() { d.readGauges(ctx) })
	loops.Go(func() { d.tickLimits(ctx) })
	loops.Go(func() { d.refreshAllocation(ctx) })
	prober := &backend.Prober{
		Pool: d.pool,
		Assigned: func(server string) bool {
			return backend.Assigned(server, d.settings.Host, d.working())
		},
	}
	loops.Go(func() { prober.Run(ctx) })
}

// routes sends the daemon's own calls to their handlers, all else to the
// request path.
func (d *daemon) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(trefoillinev1connect.NewLookUpServiceHandler(&lookUps{
		daemon: d,
	}))
	path, fleetService := trefoillinev1connect.NewFleetServiceHandler(&fleetQueries{
		daemon: d,
	}, connect.WithReadMaxBytes(maxPacket))
	mux.Handle(path, d.guarded(fleetService))
	mux.Handle("POST "+peerPath, d.guarded(http.HandlerFunc(d.receivePacket)))
	mux.Handle(peer.MessagesPath, d.guarded(d.exchange))
	mux.Handle(peer.ObjectsPath, d.guarded(d.objects))
	mux.Handle("GET /trefoilline/measures", d.guarded(http.HandlerFunc(d.writeMeasures)))
	mux.Handle("/", d.handler)
	return mux
}

// guarded lets only those pass who show the fleet's secret.
func (d *daemon) guarded(next http.Handler) http.Handler {
	return secret.Guard(d.settings.FleetSecret, next)
}

func (d *daemon) writeMeasures(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	d.measures.WriteJSON(w)
}

// tickLimits drives the division of the limits among the hosts.
func (d *daemon) tickLimits(ctx context.Context) {
	for ctx.Err() == nil {
		d.peers.sendShare(d.limits.Tick())
		d.measureLimits()
		pause(ctx, share.TickInterval)
	}
}

// refreshAllocation carries the allocation to and from the store.
func (d *daemon) refreshAllocation(ctx context.Context) {
	// A fleet that starts together is divided once all have met: each change of
	// the holders costs those that gain the time until the old parts have lapsed.
	pause(ctx, fleetWait)
	for ctx.Err() == nil {
		if err := d.keeper.Refresh(ctx); err != nil {
			d.log.Write(observe.AllocationSyncFailed, zap.Error(err))
		}
		pause(ctx, share.TickInterval)
	}
}
