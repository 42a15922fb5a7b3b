package host

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/roster"
	"trefoilline.example/trefoilline/suspect"
)

// heartbeatPath is the path at which hosts receive each other's heartbeats.
const heartbeatPath = "/trefoilline/beat"

// maxHeartbeatBytes bounds the body of a heartbeat.
const maxHeartbeatBytes = 1 << 20

// heartbeatTimeout bounds the sending of a heartbeat.
const heartbeatTimeout = time.Second

// maxIdlePerPeer is how many idle connections are kept to each other host.
const maxIdlePerPeer = 4

// crashReportRetention is how long heartbeats repeat a crash report.
const crashReportRetention = 10 * time.Second

// peers exchanges heartbeats, rate limit tokens and copies of the store's objects with the
// other hosts.
type peers struct {
	host     *host
	sequence atomic.Uint64
	client   http.Client
	// wake makes run send the next heartbeat early.
	wake chan struct{}

	mu sync.Mutex
	// sending holds the addresses to which a heartbeat is being sent.
	sending map[netip.AddrPort]struct{}
}

// newHandler returns a handler for the calls of other hosts.
func (p *peers) newHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+heartbeatPath, p.handleHeartbeat)
	mux.HandleFunc("GET "+copyPath, p.handleCopyRequest)
	mux.HandleFunc("POST "+tokenPath, p.handleTokenRequest)
	return mux
}

func (p *peers) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	var heartbeat roster.Heartbeat
	if err := json.NewDecoder(io.LimitReader(r.Body, maxHeartbeatBytes)).Decode(&heartbeat); err != nil {
		http.Error(w, http.StatusText(http.StatusBadRequest), http.StatusBadRequest)
		p.host.log.Write(observe.BeatUnreadable, zap.String("from", r.RemoteAddr), zap.Error(err))
		return
	}
	if p.host.roster.Receive(heartbeat) {
		for _, report := range heartbeat.CrashReports {
			p.host.crashDetector.Add(report)
		}
	}
	w.WriteHeader(http.StatusNoContent)
	// The sender need not wait until this host has caught up.
	go p.host.catchUp(context.WithoutCancel(r.Context()), heartbeat)
}

// run sends heartbeats until the context ends.
func (p *peers) run(ctx context.Context) {
	ticker := time.NewTicker(roster.HeartbeatInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		p.sendAll(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-p.wake:
			// Changes often come several at a time; one heartbeat reports them all.
			sleep(ctx, earlyHeartbeatDelay)
		}
	}
}

// earlyHeartbeatDelay is how long an early heartbeat waits for further changes.
const earlyHeartbeatDelay = 20 * time.Millisecond

// sendSoon makes run send a heartbeat without waiting for the next interval.
func (p *peers) sendSoon() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Only one heartbeat in several to hosts of other regions is full; the rest are partial.
// The number grows by one for every hostsPerFullInterval other hosts, up to
// maxFullInterval.
const (
	maxFullInterval      = 4
	hostsPerFullInterval = 9
)

// fullInterval returns how many heartbeats apart the full ones to hosts of other regions
// are.
func fullInterval(hosts int) uint64 {
	return uint64(min(1+hosts/hostsPerFullInterval, maxFullInterval))
}

// sendAll sends a heartbeat to all other hosts, except those to which an earlier one is
// still being sent. Hosts of this region always get the full heartbeat.
func (p *peers) sendAll(ctx context.Context) {
	heartbeat := p.host.heartbeat()
	full, err := json.Marshal(heartbeat)
	if err != nil {
		p.host.log.Write(observe.BeatUnsent, zap.Error(err))
		return
	}
	partial, err := json.Marshal(heartbeat.ToPartial())
	if err != nil {
		p.host.log.Write(observe.BeatUnsent, zap.Error(err))
		return
	}
	targets := p.targets()
	isFull := heartbeat.Sequence%fullInterval(len(targets)) == 0
	for _, target := range targets {
		if !p.startSending(target.PeerAddress) {
			continue
		}
		body := partial
		if target.Region == p.host.settings().Region || isFull {
			body = full
		}
		go p.send(ctx, target.PeerAddress, body)
	}
}

// targets returns the hosts that get heartbeats. While no other host is known, these are
// the seeds, which are taken to be in this region.
func (p *peers) targets() []roster.Host {
	targets := p.host.roster.HeartbeatTargets()
	if len(targets) > 0 {
		return targets
	}
	for _, address := range p.host.settings().Seeds {
		if address != p.host.settings().PeerAddress {
			targets = append(targets, roster.Host{
				PeerAddress: address,
				Region:      p.host.settings().Region,
			})
		}
	}
	return targets
}

// startSending marks the address as being sent to. It reports false if it already was.
func (p *peers) startSending(address netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, isSending := p.sending[address]; isSending {
		return false
	}
	if p.sending == nil {
		p.sending = make(map[netip.AddrPort]struct{})
	}
	p.sending[address] = struct{}{}
	return true
}

// send sends a heartbeat and records the round trip time. A heartbeat that is lost is not
// sent again; the next one replaces it.
func (p *peers) send(ctx context.Context, address netip.AddrPort, body []byte) {
	defer func() {
		p.mu.Lock()
		delete(p.sending, address)
		p.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+heartbeatPath, bytes.NewReader(body))
	if err != nil {
		p.host.log.Write(observe.BeatUnsent, zap.Error(err))
		return
	}
	start := time.Now()
	response, err := p.client.Do(request)
	if err != nil {
		p.host.log.Write(observe.BeatUnsent, zap.String("to", address.String()), zap.Error(err))
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	p.host.roster.RecordRoundTrip(address, time.Since(start))
}

// heartbeat returns this host's next heartbeat.
func (h *host) heartbeat() roster.Heartbeat {
	heartbeat := roster.Heartbeat{
		Host:          h.record(),
		Incarnation:   h.incarnation,
		Sequence:      h.peers.sequence.Add(1),
		Ready:         h.isReady(),
		Leaving:       h.draining.Load(),
		StoreVersions: h.storeVersions(),
		TeamDemand:    h.limiter.Demand(),
		TeamShares:    h.limiter.Shares(),
		RouteDemand:   h.handler.UnrestrictedRequestRates(),
		CrashReports:  h.recentCrashReports(),
		WarmSlotTimes: h.pool.WarmSlotTimes(),
		Utilization:   h.pool.Utilization(),
		RemoteShares:  h.currentRemoteShares(),
	}
	if c := h.handler.Configuration(); c != nil {
		heartbeat.ConfigurationVersion = c.Version
	}
	return heartbeat
}

// storeVersions returns the version of the last change that this host knows of each
// prefix.
func (h *host) storeVersions() map[string]objectstore.Version {
	versions := make(map[string]objectstore.Version, len(h.followers))
	for prefix, follower := range h.followers {
		versions[prefix] = follower.Known()
	}
	return versions
}

// broadcastCrash sends a crash report to the other hosts at once.
func (h *host) broadcastCrash(report suspect.CrashReport) {
	h.crashReports.mu.Lock()
	h.crashReports.recent = append(h.crashReports.recent, report)
	h.crashReports.mu.Unlock()
	h.peers.sendSoon()
}

// recentCrashReports returns the crash reports of the last [crashReportRetention] and
// drops older ones.
func (h *host) recentCrashReports() []suspect.CrashReport {
	h.crashReports.mu.Lock()
	defer h.crashReports.mu.Unlock()
	oldest := time.Now().Add(-crashReportRetention)
	h.crashReports.recent = slices.DeleteFunc(h.crashReports.recent, func(report suspect.CrashReport) bool { return report.ObservedAt.Before(oldest) })
	return slices.Clone(h.crashReports.recent)
}

// isReachable tells whether a backend server accepts a new connection.
func (h *host) isReachable(server netip.AddrPort) bool {
	connection, err := net.DialTimeout("tcp", server.String(), connectTimeout)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}
