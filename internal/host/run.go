package host

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/internal/connection"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/platform"
)

// Limits of the HTTP servers at the host's addresses, above any that [host.limits] returns for the usual configurations. They
// hold if the checks of the connections are late.
const (
	lastHeaderTimeout  = 5 * time.Minute
	lastIdleTimeout    = time.Hour
	lastMaxHeaderBytes = 1 << 20
)

// ListenError reports an address that can't be listened on.
type ListenError struct {
	Address netip.AddrPort
	Cause   error
}

func (e *ListenError) Error() string {
	return "listen on " + e.Address.String() + ": " + e.Cause.Error()
}

func (e *ListenError) Unwrap() error { return e.Cause }

// Process runs an entry host.
type Process struct {
	Settings Settings
	// SettingsFile is watched for changed settings while the process runs. It may be nil.
	SettingsFile *SettingsFile
	Log          observe.Log
	// LogLevel is the level of Log, which follows changes of the settings. It may be nil.
	LogLevel *zap.AtomicLevel
	// DialServer opens connections to backend servers; a TCP dialer with the host's timeouts if nil.
	DialServer func(ctx context.Context, network, address string) (net.Conn, error)
}

// Run serves until the context ends, then drains the host and returns when it has stopped.
// It returns a [ListenError] if an address can't be listened on.
func (p *Process) Run(ctx context.Context) error {
	settings, log := p.Settings, p.Log
	h := newHost(settings, log)
	h.logLevel = p.LogLevel
	h.client.Dial = p.DialServer
	servers, err := h.listen()
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var tasks sync.WaitGroup
	h.startTasks(background, &tasks)
	if p.SettingsFile != nil {
		tasks.Go(func() { p.SettingsFile.Watch(background, h.reload) })
	}
	log.Write(observe.Started, zap.String("host", settings.Host), zap.Uint64("incarnation", h.incarnation),
		zap.String("address", settings.CallerAddress.String()))
	<-ctx.Done()
	h.drain(servers)
	stop()
	tasks.Wait()
	return nil
}

// listen opens all addresses of the host and serves them in the background.
func (h *host) listen() ([]*connection.Server, error) {
	var servers []*connection.Server
	for _, s := range []struct {
		kind    ListenerKind
		address netip.AddrPort
		handler http.Handler
	}{
		{
			kind:    CallerListener,
			address: h.settings().CallerAddress,
			handler: h.handler,
		},
		{
			kind:    ReadyListener,
			address: h.settings().ReadyAddress,
			handler: platform.ReadyHandler(h.isReady),
		},
		{
			kind:    LookupListener,
			address: h.settings().LookupAddress,
			handler: platform.LookupHandler(h.lookUp),
		},
		{
			kind:    PeerListener,
			address: h.settings().PeerAddress,
			handler: h.peerMessenger.newHandler(),
		},
		{
			kind:    MetricsListener,
			address: h.settings().MetricsAddress,
			handler: http.HandlerFunc(h.serveMetrics),
		},
	} {
		if !s.address.IsValid() {
			// Only the metrics address is optional.
			continue
		}
		listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(s.address))
		if err != nil {
			return nil, &ListenError{
				Address: s.address,
				Cause:   err,
			}
		}
		server := &connection.Server{
			HTTP: &http.Server{
				Handler:           s.handler,
				ReadHeaderTimeout: lastHeaderTimeout,
				IdleTimeout:       lastIdleTimeout,
				MaxHeaderBytes:    lastMaxHeaderBytes,
			},
			Log:     h.log,
			Limits:  func() connection.Limits { return h.limits(s.kind) },
			Name:    listenerShares[s.kind].name,
			Metrics: &h.handler.Metrics,
		}
		servers = append(servers, server)
		go h.serve(server, listener)
	}
	return servers, nil
}

// serveMetrics writes the metrics as text, one value per line.
func (h *host) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	h.handler.UpdateMemoryGauges()
	h.handler.Metrics.WriteText(w)
}

func (h *host) serve(server *connection.Server, listener *net.TCPListener) {
	if err := server.Serve(listener); err != nil {
		h.log.Write(observe.ServingFailed, zap.String("address", listener.Addr().String()), zap.Error(err))
	}
}

// startTasks starts the background tasks: the followers of the store, the writing of the
// host's record, the heartbeats, and the updates of what depends on the heartbeats of other
// hosts (see [host.updateFromPeers]).
func (h *host) startTasks(ctx context.Context, tasks *sync.WaitGroup) {
	for _, f := range h.followers {
		tasks.Go(func() { f.Run(ctx) })
	}
	for _, task := range []func(context.Context){
		h.writeRecord,
		h.recoverPart,
		h.askForLease,
		h.peerMessenger.runHeartbeats,
		h.peerMessenger.borrowShares,
		h.updateFromPeers,
		h.watchContact,
	} {
		tasks.Go(func() { task(ctx) })
	}
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
