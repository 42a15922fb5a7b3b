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
	"trefoilline.example/trefoilline/globallimit"
	"trefoilline.example/trefoilline/internal/connection"
	"trefoilline.example/trefoilline/internal/fleetauth"
	"trefoilline.example/trefoilline/observe"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// fleetDiscoveryTime is how long a starting host waits to discover the other hosts
	// before it takes part in the allocation of limits.
	fleetDiscoveryTime = 5 * time.Second
)

// Run runs an entry host until the context ends and then drains it: it waits until cached
// look-up answers have expired and the last request is done, at most DrainTimeout. It
// returns a [ListenError] if it cannot listen on its address, or the error of the HTTP
// server.
func Run(ctx context.Context, settings Settings) error {
	log := newLog(os.Stderr, settings.Host, settings.LogFormat, zap.NewAtomicLevelAt(settings.LogLevel))
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(settings.ListenAddress))
	if err != nil {
		return &ListenError{
			Address: settings.ListenAddress.String(),
			Cause:   err,
		}
	}
	d := newDaemon(settings, log)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var loops sync.WaitGroup
	d.startLoops(background, &loops)

	requests, endRequests := context.WithCancel(context.Background())
	defer endRequests()
	server := &connection.Server{
		HTTP: &http.Server{
			BaseContext:       func(net.Listener) context.Context { return requests },
			Handler:           d.routes(),
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
		},
		Log: log,
	}
	serveResult := make(chan error, 1)
	go func() { serveResult <- server.Serve(listener) }()
	d.log.Write(observe.Started, zap.String("host", settings.Host), zap.Uint64("incarnation", d.incarnation),
		zap.String("address", listener.Addr().String()))
	select {
	case err = <-serveResult:
	case <-ctx.Done():
		err = d.drain(server, endRequests)
	}
	stop()
	loops.Wait()
	return err
}

// startLoops starts the background goroutines.
func (d *daemon) startLoops(ctx context.Context, loops *sync.WaitGroup) {
	d.batchSender.setContext(ctx)
	loops.Go(func() { d.pollMachines(ctx) })
	d.startFleetLoops(ctx, loops.Go)
	loops.Go(func() { d.runPlanWriter(ctx) })
	loops.Go(func() { d.updateGauges(ctx) })
	loops.Go(func() { d.runLimiter(ctx) })
	loops.Go(func() { d.syncAllocation(ctx) })
	// Each server is probed by a few hosts only. The other hosts detect that it is
	// draining from the list of machines or from its rejections.
	prober := &backend.Prober{
		Pool: d.pool,
		ShouldProbe: func(server string) bool {
			return backend.ShouldProbe(server, d.settings.Host, d.nonDrainingHosts())
		},
	}
	loops.Go(func() { prober.Run(ctx) })
}

// routes returns the handler of the daemon's address. Look-ups and calls of operators and
// other hosts have paths of their own; everything else is a caller's request.
func (d *daemon) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(trefoillinev1connect.NewLookUpServiceHandler(&lookUpService{
		daemon: d,
	}))
	path, statusHandler := trefoillinev1connect.NewFleetServiceHandler(&statusService{
		daemon: d,
	}, connect.WithReadMaxBytes(maxBodyBytes))
	mux.Handle(path, d.requireSecret(statusHandler))
	mux.Handle("POST "+batchPath, d.requireSecret(http.HandlerFunc(d.receiveBatch)))
	mux.Handle(peer.MessagesPath, d.requireSecret(d.fleetTransport))
	mux.Handle(peer.ObjectsPath, d.requireSecret(d.objectCache))
	mux.Handle("GET /trefoilline/measures", d.requireSecret(http.HandlerFunc(d.writeMetrics)))
	mux.Handle("/", d.handler)
	return mux
}

// requireSecret passes on only the calls that carry the fleet's secret.
func (d *daemon) requireSecret(next http.Handler) http.Handler {
	return fleetauth.RequireSecret(d.settings.FleetSecret, next)
}

// writeMetrics responds with the metrics as JSON.
func (d *daemon) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	d.metrics.WriteJSON(w)
}

// runLimiter runs the periodic work of the limiter, sends its messages to the other hosts
// and reports its state, until the context ends.
func (d *daemon) runLimiter(ctx context.Context) {
	for ctx.Err() == nil {
		d.batchSender.sendLimiterMessages(d.limiter.Tick())
		d.updateLimiterGauges()
		sleep(ctx, globallimit.TickInterval)
	}
}

// syncAllocation reads the allocation of the limits from the store, and writes the next one
// if a quorum of the members voted for it, until the context ends.
func (d *daemon) syncAllocation(ctx context.Context) {
	// When the whole fleet starts, the limits are divided only after the hosts have
	// discovered each other. On each change of the members, a host that gains a share
	// must wait until the old shares have expired.
	sleep(ctx, fleetDiscoveryTime)
	for ctx.Err() == nil {
		if err := d.allocationSyncer.Refresh(ctx); err != nil {
			d.log.Write(observe.AllocationSyncFailed, zap.Error(err))
		}
		sleep(ctx, globallimit.TickInterval)
	}
}
