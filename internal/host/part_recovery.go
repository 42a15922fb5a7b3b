package host

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/membership"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/quota"
)

// partPath is the path at which a host that has started again asks the others for its part of the teams' rates.
const partPath = "/trefoilline/part"

const (
	// partRecoveryDelay is how long a host listens for the others after its start before it asks them, so that it knows all that
	// reach it.
	partRecoveryDelay = 2 * membership.HeartbeatInterval
	// The time between two attempts doubles, since all hosts are asked each time.
	minPartRecoveryInterval = 200 * time.Millisecond
	maxPartRecoveryInterval = 4 * time.Second
	partRecoveryTimeout     = 400 * time.Millisecond
)

// recoverPart asks the other hosts, after a restart while the store does not respond, for the part that an earlier process of this
// host may use, and asks again as long as it is used. It ends once the host has a part that its record states, or the store has
// answered.
func (h *host) recoverPart(ctx context.Context) {
	if h.settings().FirstStart {
		return
	}
	sleep(ctx, partRecoveryDelay)
	for interval := minPartRecoveryInterval; ctx.Err() == nil && h.part.NeedsRecovery(); interval = min(2*interval, maxPartRecoveryInterval) {
		members := h.members()
		isHolder := slices.Contains(h.holders(members), h.settings().Host)
		if isHolder {
			h.tryRecoverPart(ctx)
		}
		h.updateDivisionSoon()
		sleep(ctx, interval)
	}
}

// tryRecoverPart asks all hosts once.
func (h *host) tryRecoverPart(ctx context.Context) {
	members := h.runningMembers()
	sentAt := time.Now()
	answers := h.peerMessenger.requestParts(ctx, members)
	recovered, isRecovered := quota.RecoverPart(h.settings().Host, names(members), answers)
	if !isRecovered || !h.part.Recover(recovered, sentAt) {
		return
	}
	h.log.Write(observe.RatePartRecovered, zap.Int("part", recovered.Part), zap.Uint64("version", recovered.Version),
		zap.Strings("answered", names(members)))
	h.updateDivisionSoon()
}

// runningMembers returns the members that may be running: all but those that are silent and whose record says that they
// have stopped.
func (h *host) runningMembers() []membership.HostRecord {
	records := h.records.Load()
	return slices.DeleteFunc(h.members(), func(m membership.HostRecord) bool {
		if m.Name == h.settings().Host {
			return true
		}
		_, isHeard := h.roster.RecentPeer(m.Name)
		return !isHeard && records != nil && records.known[m.Name].record.Stopped
	})
}

// names returns the names of the hosts.
func names(members []membership.HostRecord) []string {
	var found []string
	for _, m := range members {
		found = append(found, m.Name)
	}
	return found
}

// requestParts asks the hosts what they know of this host's part, and returns the answers by name.
func (p *peerMessenger) requestParts(ctx context.Context, members []membership.HostRecord) map[string]quota.PartAnswer {
	ctx, cancel := context.WithTimeout(ctx, partRecoveryTimeout)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	answers := make(map[string]quota.PartAnswer)
	for _, m := range members {
		calls.Go(func() {
			answer, err := p.requestPart(ctx, m.PeerAddress)
			if err != nil {
				p.host.log.Write(observe.LoanRequestFailed, zap.String("to", m.PeerAddress.String()), zap.Error(err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers[m.Name] = answer
		})
	}
	calls.Wait()
	return answers
}

// requestPart asks one host.
func (p *peerMessenger) requestPart(ctx context.Context, address netip.AddrPort) (quota.PartAnswer, error) {
	query := url.Values{
		"host": {p.host.settings().Host},
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+partPath+"?"+query.Encode(), nil)
	if err != nil {
		return quota.PartAnswer{}, err
	}
	response, err := p.client.Do(call)
	if err != nil {
		return quota.PartAnswer{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return quota.PartAnswer{}, &CopyStatusError{
			Status: response.StatusCode,
		}
	}
	var answer quota.PartAnswer
	err = readJSON(response.Body, response.Header.Get("Content-Encoding"), maxLoanBytes, &answer)
	return answer, err
}

// handlePartRequest answers a host that has started again.
func (p *peerMessenger) handlePartRequest(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("host")
	p.noteQuestion(name)
	answer := quota.PartAnswer{
		Statement: p.host.partStatements.Of(name),
		Part:      p.host.part.granted(),
		Members:   append(names(p.host.runningMembers()), p.host.settings().Host),
	}
	answer.Holders, _ = p.host.limiter.DivisionHash()
	if records := p.host.records.Load(); records != nil {
		answer.RecordVersion = uint64(records.known[name].version)
	}
	// An error means that the other host is gone and needs no response.
	_ = writeJSON(w, r, answer)
}
