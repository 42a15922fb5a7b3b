package host

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/crashdetect"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/membership"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/placement"
)

// heartbeatPath is the path at which hosts receive each other's heartbeats.
const heartbeatPath = "/trefoilline/beat"

// maxHeartbeatBytes bounds the body of a heartbeat.
const maxHeartbeatBytes = 1 << 20

// heartbeatTimeout bounds the sending of a heartbeat. It also bounds the opening of every
// connection to another host.
const heartbeatTimeout = time.Second

// maxIdlePerPeer is how many idle connections are kept to each other host.
const maxIdlePerPeer = 4

// crashReportRepeatTime is for how long after a crash or a clearance was observed its report
// is part of every heartbeat.
const crashReportRepeatTime = 10 * time.Second

// peerMessenger exchanges heartbeats, rate limit tokens, loans and copies of the store's objects
// with the other hosts.
type peerMessenger struct {
	host     *host
	sequence atomic.Uint64
	client   http.Client
	// wake makes runHeartbeats send the next heartbeat early.
	wake chan struct{}
	// isRelay is true if the last messages were those of a relay.
	isRelay atomic.Bool
	// publisher builds the digests while this host is a relay.
	publisher membership.Publisher
	// copies are those of the store's objects that were sent last.
	copies encodedCopies

	mu sync.Mutex
	// sending holds the addresses to which a heartbeat is being sent.
	sending map[netip.AddrPort]struct{}
	// answered holds by address when the last message was sent that another host answered, and questions by name when
	// another host last asked for its part.
	answered  map[netip.AddrPort]time.Time
	questions map[string]time.Time
}

// newHandler returns a handler for the calls of other hosts.
func (p *peerMessenger) newHandler() http.Handler {
	calls := p.newCallHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A forwarded request has the path that its caller chose.
		if r.Header.Get(header.ForwardedBy) != "" {
			p.host.handler.ServeForwarded(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	})
}

// newCallHandler returns a handler for all calls but forwarded requests.
func (p *peerMessenger) newCallHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+heartbeatPath, p.handleHeartbeat)
	mux.HandleFunc("POST "+digestPath, p.handleDigest)
	mux.HandleFunc("GET "+copyPath, p.handleCopyRequest)
	mux.HandleFunc("POST "+tokenPath, p.handleTokenRequest)
	mux.HandleFunc("POST "+loanPath, p.handleLoanRequest)
	mux.HandleFunc("GET "+partPath, p.handlePartRequest)
	return mux
}

func (p *peerMessenger) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	var heartbeat membership.Heartbeat
	if err := readJSON(r.Body, r.Header.Get("Content-Encoding"), maxHeartbeatBytes, &heartbeat); err != nil {
		http.Error(w, http.StatusText(http.StatusBadRequest), http.StatusBadRequest)
		p.host.log.Write(observe.HeartbeatUnreadable, zap.String("from", r.RemoteAddr), zap.Error(err))
		return
	}
	isUrgent := p.host.roster.NeedsEarlyDigest(heartbeat)
	if p.host.roster.Receive(heartbeat) {
		p.host.partStatements.Note(heartbeat.Name, heartbeat.Incarnation, heartbeat.RatePart)
		p.host.addCrashReports(heartbeat.CrashReports)
		p.host.addServerLimits(heartbeat.ServerLimits)
		p.host.addLeavingServers(heartbeat.LeavingServers, heartbeat.Name)
	}
	if isUrgent {
		p.sendHeartbeatSoon()
	}
	answerWithHint(w, p.host.roster.HintForHeartbeat(p.host.record(), p.host.draining.Load(), heartbeat.HostRecord))
	// The sender need not wait until this host has caught up.
	go p.host.catchUp(context.WithoutCancel(r.Context()), heartbeat)
}

// runHeartbeats sends heartbeats until the context ends.
func (p *peerMessenger) runHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(membership.HeartbeatInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		p.sendHeartbeats(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-p.wake:
			// Changes often come several at a time; one heartbeat reports them all.
			sleep(ctx, p.earlyDelay())
		}
	}
}

// How long an early heartbeat waits for further changes. A relay, which passes the changes of
// many hosts on to many others, waits longer.
const (
	earlyHeartbeatDelay = 20 * time.Millisecond
	earlyDigestDelay    = 100 * time.Millisecond
)

func (p *peerMessenger) earlyDelay() time.Duration {
	if p.isRelay.Load() {
		return earlyDigestDelay
	}
	return earlyHeartbeatDelay
}

// sendHeartbeatSoon makes runHeartbeats send a heartbeat without waiting for the end of the
// interval.
func (p *peerMessenger) sendHeartbeatSoon() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// To hosts of other regions, every n-th heartbeat is full and the others are partial. The n
// is one, plus one for every hostsPerIntervalStep other hosts, but at most maxFullInterval.
const (
	maxFullInterval      = 4
	hostsPerIntervalStep = 9
)

// fullInterval returns how many heartbeats apart the full ones to hosts of other regions
// are.
func fullInterval(hosts int) uint64 {
	return uint64(min(1+hosts/hostsPerIntervalStep, maxFullInterval))
}

// sendHeartbeats sends a heartbeat, and digests if this host is a relay, to the hosts that are
// to get one, except those to which an earlier one is still being sent. Hosts of this region
// always get the full heartbeat.
func (p *peerMessenger) sendHeartbeats(ctx context.Context) {
	heartbeat := p.host.heartbeat()
	full, err := json.Marshal(heartbeat)
	if err != nil {
		p.host.log.Write(observe.HeartbeatSendFailed, zap.Error(err))
		return
	}
	partial, err := json.Marshal(heartbeat.ToPartial())
	if err != nil {
		p.host.log.Write(observe.HeartbeatSendFailed, zap.Error(err))
		return
	}
	targets := p.targets()
	p.isRelay.Store(targets.IsRelay)
	isFull := targets.HasRelays || heartbeat.Sequence%fullInterval(len(targets.Heartbeats)) == 0
	for _, target := range targets.Heartbeats {
		if !p.markSending(target.PeerAddress) {
			continue
		}
		body := partial
		if target.Region == p.host.settings().Region || isFull {
			body = full
		}
		go p.sendHeartbeat(ctx, target.PeerAddress, body)
	}
	p.sendDigests(ctx, heartbeat, targets.Digests)
}

// targets returns the hosts that get heartbeats and digests. While no other host is heard from,
// the seeds get heartbeats too; they are assumed to be in this region.
func (p *peerMessenger) targets() membership.Targets {
	targets := p.host.roster.Targets(p.host.record(), p.host.draining.Load())
	if len(p.host.roster.LivePeers()) > 0 {
		return targets
	}
	for _, address := range p.host.settings().Seeds {
		isTarget := slices.ContainsFunc(targets.Heartbeats, func(h membership.HostRecord) bool { return h.PeerAddress == address })
		if address != p.host.settings().PeerAddress && !isTarget {
			targets.Heartbeats = append(targets.Heartbeats, membership.HostRecord{
				PeerAddress: address,
				Region:      p.host.settings().Region,
			})
		}
	}
	return targets
}

// markSending marks the address as being sent to. It reports false if it already was.
func (p *peerMessenger) markSending(address netip.AddrPort) bool {
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

func (p *peerMessenger) unmarkSending(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sending, address)
}

// sendHeartbeat sends a heartbeat. One that is lost is not sent again; the next one replaces
// it.
func (p *peerMessenger) sendHeartbeat(ctx context.Context, address netip.AddrPort, body []byte) {
	if status, response := p.post(ctx, address, heartbeatPath, body, false); status == http.StatusOK {
		p.readRelayHint(response)
	}
}

// maxPeerResponseBytes bounds the response to a heartbeat or a digest.
const maxPeerResponseBytes = 64 << 10

// post sends a message to another host, records the round-trip time, and ends the mark that
// one is being sent there. It returns the status and the body of the response, or zero if
// there was none.
func (p *peerMessenger) post(ctx context.Context, address netip.AddrPort, path string, body []byte, isCompressed bool) (int, []byte) {
	defer p.unmarkSending(address)
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		p.host.log.Write(observe.HeartbeatSendFailed, zap.Error(err))
		return 0, nil
	}
	if isCompressed {
		request.Header.Set("Content-Encoding", gzipEncoding)
	}
	start := time.Now()
	response, err := p.client.Do(request)
	if err != nil {
		p.host.log.Write(observe.HeartbeatSendFailed, zap.String("to", address.String()), zap.Error(err))
		return 0, nil
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxPeerResponseBytes))
	if err != nil {
		p.host.log.Write(observe.HeartbeatSendFailed, zap.String("to", address.String()), zap.Error(err))
		return 0, nil
	}
	p.host.roster.RecordRoundTrip(address, time.Since(start))
	if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusNoContent {
		p.noteAnswer(address, start)
	}
	return response.StatusCode, content
}

// heartbeat returns this host's next heartbeat.
func (h *host) heartbeat() membership.Heartbeat {
	heartbeat := membership.Heartbeat{
		HostRecord:       h.record(),
		Incarnation:      h.incarnation,
		Sequence:         h.peerMessenger.sequence.Add(1),
		Ready:            h.isReady(),
		Draining:         h.draining.Load(),
		CutOff:           h.pool.IsCutOff(),
		StoreVersions:    h.storeVersions(),
		RatePart:         h.part.Statement(),
		TeamDemand:       h.limiter.Demand(),
		TeamShares:       h.limiter.Shares(),
		CallerLoad:       h.callerLoad(),
		RouteDemand:      h.handler.RouteDemand(),
		BoundRouteDemand: h.handler.BoundRouteDemand(),
		CrashReports:     h.recentCrashReports(),
		ServerLimits:     h.pool.ServerLimits(h.reportSource()),
		LeavingServers:   h.pool.LeavingServers(h.reportSource()),
		CachedSlotTimes:  h.pool.CachedSlotTimes(),
		Utilization:      h.pool.Utilization(),
		RemoteShares:     h.currentRemoteShares(),
	}
	heartbeat.Holders, _ = h.limiter.DivisionHash()
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
		versions[prefix] = follower.LastChangeVersion()
	}
	return versions
}

// queueCrashReport adds a crash report or a clearance to the next heartbeats and makes one go
// out early.
func (h *host) queueCrashReport(report crashdetect.Report) {
	h.crashReports.mu.Lock()
	h.crashReports.recent = append(h.crashReports.recent, report)
	h.crashReports.mu.Unlock()
	h.peerMessenger.sendHeartbeatSoon()
}

// addCrashReports adds crash reports of other hosts. What is new is part of this host's own
// heartbeats and digests too; a relay sends one early.
func (h *host) addCrashReports(reports []crashdetect.Report) {
	hasNew := false
	for _, report := range reports {
		if !h.crashDetector.AddReport(report) {
			continue
		}
		hasNew = true
		h.crashReports.mu.Lock()
		h.crashReports.recent = append(h.crashReports.recent, report)
		h.crashReports.mu.Unlock()
	}
	if hasNew && h.peerMessenger.isRelay.Load() {
		h.peerMessenger.sendHeartbeatSoon()
	}
}

// reportSource returns what this host reports of servers. A relay passes on what all hosts heard.
func (h *host) reportSource() placement.ReportSource {
	if h.peerMessenger.isRelay.Load() {
		return placement.AllReports
	}
	return placement.OwnReports
}

// addServerLimits applies what another host knows of the limits of backend servers.
func (h *host) addServerLimits(limits []placement.ServerLimit) {
	for _, change := range h.pool.AddServerLimits(limits) {
		h.handler.LogLimitChange(change)
	}
}

// addLeavingServers applies what another host found of backend servers that leave.
func (h *host) addLeavingServers(servers []placement.LeavingServer, from string) {
	for _, name := range h.pool.AddLeavingServers(servers) {
		h.handler.LogLeaving(name, from)
	}
}

// recentCrashReports returns the crash reports and clearances of the last
// [crashReportRepeatTime] and drops older ones.
func (h *host) recentCrashReports() []crashdetect.Report {
	h.crashReports.mu.Lock()
	defer h.crashReports.mu.Unlock()
	oldest := time.Now().Add(-crashReportRepeatTime)
	h.crashReports.recent = slices.DeleteFunc(h.crashReports.recent, func(report crashdetect.Report) bool { return report.ObservedAt.Before(oldest) })
	return slices.Clone(h.crashReports.recent)
}
