package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// ProbeInterval is the time between two probes of a server.
	ProbeInterval = time.Second
	// probeTimeout bounds one probe.
	probeTimeout = 800 * time.Millisecond
	// probesAtOnce bounds how many probes run at the same time.
	probesAtOnce = 32
	// healthBytes bounds the answer of a probe.
	healthBytes = 4 << 10
)

// Prober asks the backend servers' health endpoints and gives the answers to
// the pool. The zero value needs a Pool only.
type Prober struct {
	Pool *Pool
	// Client makes the calls; nil means http.DefaultClient.
	Client *http.Client
	// Clock returns the time; nil means time.Now.
	Clock func() time.Time
	// Assigned reports whether this host probes the server; nil means that it
	// probes all. Hosts that do not should be given the probes of those that
	// do, by OnProbe.
	ShouldProbe func(server string) bool
	// OnProbe is told of each probe, after the pool.
	OnProbe func(Probe)
}

// Health is the answer of a server's health endpoint.
type Health struct {
	// State is "live" or "draining".
	State string `json:"state"`
	// Running is how many requests the server runs.
	Running int `json:"running"`
	// SlotLimiter is how many it runs at once.
	Slots int `json:"slots"`
}

// draining is the state of a server that takes no new work.
const draining = "draining"

// Run probes until the context ends.
func (p *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(ProbeInterval)
	defer ticker.Stop()
	for {
		p.probeAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// probeAll probes each assigned server once.
func (p *Prober) probeAll(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(probesAtOnce)
	for _, t := range p.Pool.targets() {
		if p.ShouldProbe != nil && !p.ShouldProbe(t.server) {
			continue
		}
		group.Go(func() error {
			p.probe(ctx, t)
			return nil
		})
	}
	_ = group.Wait()
}

// target is a server to probe.
type target struct {
	server  string
	address netip.AddrPort
}

// probe probes one server and passes the answer on.
func (p *Prober) probe(ctx context.Context, t target) {
	taken := p.now()
	health, err := p.ask(ctx, t)
	probe := Probe{
		Server:   t.server,
		SentAt:   taken,
		Failed:   err != nil,
		Draining: health.State == draining,
		Running:  health.Running,
		Slots:    health.Slots,
	}
	p.Pool.RecordProbe(probe)
	if p.OnProbe != nil {
		p.OnProbe(probe)
	}
}

// ask makes the call.
func (p *Prober) ask(ctx context.Context, t target) (Health, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	url := "http://" + t.address.String() + "/health"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Health{}, &ProbeError{
			Server: t.server,
			Cause:  err,
		}
	}
	response, err := p.client().Do(request)
	if err != nil {
		return Health{}, &ProbeError{
			Server: t.server,
			Cause:  err,
		}
	}
	defer response.Body.Close()
	return decodeHealth(t.server, response)
}

// decodeHealth reads the answer, and its rest, so that the connection is used
// again.
func decodeHealth(server string, response *http.Response) (Health, error) {
	body := io.LimitReader(response.Body, healthBytes)
	var health Health
	err := json.NewDecoder(body).Decode(&health)
	_, _ = io.Copy(io.Discard, body)
	if response.StatusCode != http.StatusOK || err != nil {
		return Health{}, &ProbeError{
			Server: server,
			Status: response.StatusCode,
			Cause:  err,
		}
	}
	return health, nil
}

func (p *Prober) client() *http.Client {
	if p.Client == nil {
		return http.DefaultClient
	}
	return p.Client
}

func (p *Prober) now() time.Time {
	if p.Clock == nil {
		return time.Now()
	}
	return p.Clock()
}

// targets returns the listed servers.
func (p *Pool) targets() []target {
	p.mu.Lock()
	defer p.mu.Unlock()
	targets := make([]target, 0, len(p.servers))
	for name, s := range p.servers {
		targets = append(targets, target{
			server:  name,
			address: s.machine.Address,
		})
	}
	return targets
}
