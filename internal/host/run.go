package host

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/platform"
)

// Bounds of what callers of the host's own interfaces may take.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
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

// Process is a host's process.
type Process struct {
	Settings Settings
	// SettingsFile is where the settings change while the process runs; nil if they do not.
	SettingsFile *SettingsFile
	Log          observe.Log
	// LogLevel is from which level on the log writes; it follows the settings. It may be
	// nil.
	LogLevel *zap.AtomicLevel
}

// Run serves until the context ends, then lets requests end and returns.
func (p *Process) Run(ctx context.Context) error {
	settings, log := p.Settings, p.Log
	h := newHost(settings, log)
	h.level = p.LogLevel
	servers, err := h.listen()
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var loops sync.WaitGroup
	h.startLoops(background, &loops)
	if p.SettingsFile != nil {
		loops.Go(func() { p.SettingsFile.Watch(background, h.adopt) })
	}
	log.Write(observe.Started, zap.String("host", settings.Host), zap.Uint64("incarnation", h.incarnation),
		zap.String("address", settings.CallerAddress.String()))
	<-ctx.Done()
	h.leave(servers)
	stop()
	loops.Wait()
	return nil
}

// listen opens all addresses and serves them.
func (h *host) listen() ([]*http.Server, error) {
	var servers []*http.Server
	for _, s := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{
			address: h.settings().CallerAddress,
			handler: h.handler,
		},
		{
			address: h.settings().ReadyAddress,
			handler: platform.ReadyHandler(h.isReady),
		},
		{
			address: h.settings().LookUpAddress,
			handler: platform.LookUpHandler(h.lookUp),
		},
		{
			address: h.settings().PeerAddress,
			handler: h.peers.routes(),
		},
		{
			address: h.settings().MetricsAddress,
			handler: http.HandlerFunc(h.showMeasures),
		},
	} {
		if !s.address.IsValid() {
			// Measures need not be shown.
			continue
		}
		listener, err := net.Listen("tcp", s.address.String())
		if err != nil {
			return nil, &ListenError{
				Address: s.address,
				Cause:   err,
			}
		}
		server := &http.Server{
			Handler:           s.handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
		}
		servers = append(servers, server)
		go h.serve(server, listener)
	}
	return servers, nil
}

// showMeasures writes the measures as text, one value a line.
func (h *host) showMeasures(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	h.handler.Metrics.WriteText(w)
}

func (h *host) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); err != http.ErrServerClosed {
		h.log.Write(observe.ServingFailed, zap.String("address", listener.Addr().String()), zap.Error(err))
	}
}

// startLoops starts what runs beside the requests.
func (h *host) startLoops(ctx context.Context, loops *sync.WaitGroup) {
	for _, f := range h.followers {
		loops.Go(func() { f.Run(ctx) })
	}
	for _, loop := range []func(context.Context){
		h.keepRecord,
		h.peers.run,
		h.divide,
	} {
		loops.Go(func() { loop(ctx) })
	}
}

// pause waits for the time or the end of the context.
func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
