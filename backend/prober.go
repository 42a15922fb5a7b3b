package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"trefoilline.example/trefoilline/internal/transport"
)

const (
	// ProbeInterval is the time between two probes of a server.
	ProbeInterval = time.Second
	// probeTimeout limits the duration of one probe.
	probeTimeout = 800 * time.Millisecond
	// maxConcurrentProbes limits the number of probes that run at the same time.
	maxConcurrentProbes = 32
	// maxHealthResponseBytes limits the size of a health response.
	maxHealthResponseBytes = 4 << 10
)

// Prober probes the health endpoints of the backend servers and records the results in
// the pool. Only Pool must be set.
type Prober struct {
	Pool *Pool
	// Client sends the probes; nil means one with the default transport, which rejects responses with invalid field names.
	Client *http.Client
	// Clock returns the time; nil means time.Now.
	Clock func() time.Time
	// ShouldProbe reports whether this host probes the server; nil means that it
	// probes all. If it is set, OnProbe should send the probes to the hosts that
	// do not probe the server, which call [Pool.RecordProbe] with them.
	ShouldProbe func(server string) bool
	// OnProbe is called with each probe after it is recorded in the pool.
	OnProbe func(Probe)
}

// defaultClient is used where no Client is set.
var defaultClient = &http.Client{
	Transport: &transport.Checked{},
}

// Health is the response of a server's health endpoint.
type Health struct {
	// State is "live" or "draining".
	State string `json:"state"`
	// Running is how many requests the server runs.
	Running int `json:"running"`
	// Slots is how many requests the server runs at once.
	Slots int `json:"slots"`
}

// healthDraining is the [Health] state of a server that accepts no new requests.
const healthDraining = "draining"

// Run probes the servers every [ProbeInterval] until the context ends.
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

// probeAll probes each server that this host should probe once.
func (p *Prober) probeAll(ctx context.Context) {
	var probes errgroup.Group
	probes.SetLimit(maxConcurrentProbes)
	for _, t := range p.Pool.probeTargets() {
		if p.ShouldProbe != nil && !p.ShouldProbe(t.server) {
			continue
		}
		probes.Go(func() error {
			p.probeServer(ctx, t)
			return nil
		})
	}
	_ = probes.Wait()
}

// probeTarget is a server to probe.
type probeTarget struct {
	server  string
	address netip.AddrPort
}

// probeServer probes one server and records the result.
func (p *Prober) probeServer(ctx context.Context, t probeTarget) {
	sentAt := p.now()
	health, err := p.fetchHealth(ctx, t)
	probe := Probe{
		Server:   t.server,
		SentAt:   sentAt,
		Failed:   err != nil,
		Draining: health.State == healthDraining,
		Running:  health.Running,
		Slots:    health.Slots,
	}
	p.Pool.RecordProbe(probe)
	if p.OnProbe != nil {
		p.OnProbe(probe)
	}
}

// fetchHealth requests the server's health. Its errors are of type [ProbeError].
func (p *Prober) fetchHealth(ctx context.Context, t probeTarget) (Health, error) {
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

// decodeHealth decodes the response and reads the rest of its body, so that the
// connection can be reused.
func decodeHealth(server string, response *http.Response) (Health, error) {
	body := io.LimitReader(response.Body, maxHealthResponseBytes)
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
		return defaultClient
	}
	return p.Client
}

func (p *Prober) now() time.Time {
	if p.Clock == nil {
		return time.Now()
	}
	return p.Clock()
}

// probeTargets returns the names and addresses of the listed servers.
func (p *Pool) probeTargets() []probeTarget {
	p.mu.Lock()
	defer p.mu.Unlock()
	targets := make([]probeTarget, 0, len(p.servers))
	for name, s := range p.servers {
		targets = append(targets, probeTarget{
			server:  name,
			address: s.machine.Address,
		})
	}
	return targets
}
