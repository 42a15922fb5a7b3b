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

// beatPath is where hosts take beats of each other.
const beatPath = "/trefoilline/beat"

// maxBeat bounds a beat, in bytes.
const maxBeat = 1 << 20

// beatTimeout bounds the sending of a beat.
const beatTimeout = time.Second

// peerConnections is how many connections to another host are kept unused.
const peerConnections = 4

// lossMemory is for how long losses go along with beats.
const lossMemory = 10 * time.Second

// peers carries beats between hosts.
type peers struct {
	host     *host
	sequence atomic.Uint64
	client   http.Client
	// kick makes the next beats go out at once.
	kick chan struct{}

	mu sync.Mutex
	// sending holds the addresses that a beat is on its way to.
	sending map[netip.AddrPort]struct{}
}

// routes serves what other hosts call.
func (p *peers) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+beatPath, p.receive)
	mux.HandleFunc("GET "+copyPath, p.give)
	mux.HandleFunc("POST "+tokenPath, p.lend)
	return mux
}

func (p *peers) receive(w http.ResponseWriter, r *http.Request) {
	var b roster.Heartbeat
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBeat)).Decode(&b); err != nil {
		http.Error(w, http.StatusText(http.StatusBadRequest), http.StatusBadRequest)
		p.host.log.Write(observe.HeartbeatUnreadable, zap.String("from", r.RemoteAddr), zap.Error(err))
		return
	}
	if p.host.roster.Receive(b) {
		for _, loss := range b.CrashReports {
			p.host.suspects.AddReport(loss)
		}
	}
	w.WriteHeader(http.StatusNoContent)
	// The other host does not wait for this.
	go p.host.catchUp(context.WithoutCancel(r.Context()), b)
}

// run sends beats until the context ends.
func (p *peers) run(ctx context.Context) {
	ticker := time.NewTicker(roster.HeartbeatInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		p.sendAll(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-p.kick:
			// Changes often come in numbers; one beat tells of all.
			pause(ctx, kickPause)
		}
	}
}

// kickPause is how long a beat that goes out early waits for further news.
const kickPause = 20 * time.Millisecond

// now makes beats go out at once.
func (p *peers) now() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// Among many hosts, most beats to other regions are brief: one in so many is whole,
// for each so many hosts.
const (
	longestWholePeriod = 4
	hostsAWholePeriod  = 9
)

// wholePeriod is how many beats there are to a whole one for hosts of other regions.
func wholePeriod(hosts int) uint64 {
	return uint64(min(1+hosts/hostsAWholePeriod, longestWholePeriod))
}

// sendAll sends one beat to all hosts that none is on its way to.
func (p *peers) sendAll(ctx context.Context) {
	beat := p.host.beat()
	whole, err := json.Marshal(beat)
	if err != nil {
		p.host.log.Write(observe.HeartbeatSendFailed, zap.Error(err))
		return
	}
	brief, err := json.Marshal(beat.ToPartial())
	if err != nil {
		p.host.log.Write(observe.HeartbeatSendFailed, zap.Error(err))
		return
	}
	others := p.others()
	isWhole := beat.Sequence%wholePeriod(len(others)) == 0
	for _, other := range others {
		if !p.begin(other.PeerAddress) {
			continue
		}
		body := brief
		if other.Region == p.host.settings().Region || isWhole {
			body = whole
		}
		go p.send(ctx, other.PeerAddress, body)
	}
}

// others returns the hosts to tell. The seeds are told until the store's records are
// known.
func (p *peers) others() []roster.HostRecord {
	others := p.host.roster.HeartbeatTargets()
	if len(others) > 0 {
		return others
	}
	for _, address := range p.host.settings().Seeds {
		if address != p.host.settings().PeerAddress {
			others = append(others, roster.HostRecord{
				PeerAddress: address,
				Region:      p.host.settings().Region,
			})
		}
	}
	return others
}

func (p *peers) begin(address netip.AddrPort) bool {
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

// send sends a beat. One that is lost is followed by the next.
func (p *peers) send(ctx context.Context, address netip.AddrPort, body []byte) {
	defer func() {
		p.mu.Lock()
		delete(p.sending, address)
		p.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+beatPath, bytes.NewReader(body))
	if err != nil {
		p.host.log.Write(observe.HeartbeatSendFailed, zap.Error(err))
		return
	}
	began := time.Now()
	response, err := p.client.Do(request)
	if err != nil {
		p.host.log.Write(observe.HeartbeatSendFailed, zap.String("to", address.String()), zap.Error(err))
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	p.host.roster.RecordRoundTrip(address, time.Since(began))
}

// beat is what this host says of itself now.
func (h *host) beat() roster.Heartbeat {
	b := roster.Heartbeat{
		HostRecord:    h.record(),
		Incarnation:   h.incarnation,
		Sequence:      h.peers.sequence.Add(1),
		Ready:         h.isReady(),
		Leaving:       h.leaving.Load(),
		StoreVersions: h.known(),
		TeamDemand:    h.book.Demand(),
		TeamShares:    h.book.Shares(),
		RouteDemand:   h.handler.UnrestrictedRequestRates(),
		CrashReports:  h.recentLosses(),
		WarmSlotTimes: h.pool.WarmSlotTimes(),
		Utilization:   h.pool.Utilization(),
		RemoteShares:  h.currentAway(),
	}
	if c := h.handler.Configuration(); c != nil {
		b.ConfigurationVersion = c.Version
	}
	return b
}

// known is the last change that this host knows of each prefix.
func (h *host) known() map[string]objectstore.Version {
	known := make(map[string]objectstore.Version, len(h.followers))
	for prefix, follower := range h.followers {
		known[prefix] = follower.LastChangeVersion()
	}
	return known
}

// shareLoss tells the other hosts of a loss at once.
func (h *host) shareLoss(loss suspect.Report) {
	h.losses.mu.Lock()
	h.losses.recent = append(h.losses.recent, loss)
	h.losses.mu.Unlock()
	h.peers.now()
}

func (h *host) recentLosses() []suspect.Report {
	h.losses.mu.Lock()
	defer h.losses.mu.Unlock()
	oldest := time.Now().Add(-lossMemory)
	h.losses.recent = slices.DeleteFunc(h.losses.recent, func(l suspect.Report) bool { return l.ObservedAt.Before(oldest) })
	return slices.Clone(h.losses.recent)
}

// answers tells whether a backend server takes a new connection.
func (h *host) answers(server netip.AddrPort) bool {
	connection, err := net.DialTimeout("tcp", server.String(), connectTimeout)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}
