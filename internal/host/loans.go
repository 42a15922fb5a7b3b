package host

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/membership"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/quota"
)

// loanPath is the path at which hosts borrow fractions of the teams' rates from each other.
const loanPath = "/trefoilline/loan"

const (
	// loanInterval is the time between two requests to the same host.
	loanInterval = membership.HeartbeatInterval
	// minLoanInterval is the same if the host has no share of the rate of a team that sends.
	minLoanInterval = 100 * time.Millisecond
	// loanTimeout bounds a request. A response that comes later is worth less than the next.
	loanTimeout = time.Second
	// maxLoanBytes bounds the body of a request and of a response.
	maxLoanBytes = 1 << 20
)

// updateDivision sets among which hosts the teams' rates are divided: all that may be running,
// and in a large fleet the holders among them.
func (h *host) updateDivision() {
	members := h.members()
	division := quota.Division{
		Self:      h.settings().Host,
		IsRestart: !h.settings().FirstStart,
		Joined:    make(map[string]uint64),
	}
	byRegion := make(map[string][]string)
	for _, m := range members {
		division.Members = append(division.Members, m.Name)
		division.Joined[m.Name] = m.Joined
		byRegion[m.Region] = append(byRegion[m.Region], m.Name)
	}
	// The holders follow from the members alone, so that hosts that know the same members agree.
	division.Holders = division.Members
	if len(members) > membership.MaxDirectHosts {
		division.Holders = quota.SelectHolders(byRegion)
	}
	// A host whose record the store does not have, or has as that of a stopped one, may not count
	// for the others.
	if records := h.records.Load(); records != nil && records.own.Name != "" && !records.own.Stopped {
		division.IsConfirmed = division.IsConfirmedBy(records.own.Holders, h.memberReports(members))
	}
	h.limiter.SetDivision(division)
	h.logPart(division, members)
}

// partLog is what was last logged of this host's part of the teams' rates.
type partLog struct {
	part     float64
	target   float64
	hosts    int
	waitsFor string
}

// logPart logs this host's part of the teams' rates, and the members that keep it from the one that
// it should have, if that has changed.
func (h *host) logPart(division quota.Division, members []membership.HostRecord) {
	part, target := h.limiter.Part()
	current := partLog{
		part:   part,
		target: target,
		hosts:  len(members),
	}
	if part != target {
		current.waitsFor = strings.Join(h.unconfirmed(division, members), ",")
	}
	if current == h.lastPartLog {
		return
	}
	h.lastPartLog = current
	h.log.Write(observe.RatePartChanged, zap.Float64("part", part), zap.Float64("target", target),
		zap.Int("hosts", current.hosts), zap.String("waits-for", current.waitsFor))
}

// unconfirmed returns the names of the members that have not confirmed the division.
func (h *host) unconfirmed(division quota.Division, members []membership.HostRecord) []string {
	var names []string
	for _, m := range members {
		if m.Name != h.settings().Host && !division.IsConfirmedBy(0, h.memberReports([]membership.HostRecord{m})) {
			names = append(names, m.Name)
		}
	}
	return names
}

// members returns the records of all hosts that may be running, with this one: those that have a
// record, also if it says that they have stopped, and those that were heard from lately.
func (h *host) members() []membership.HostRecord {
	members := []membership.HostRecord{h.record()}
	isHeard := make(map[string]bool)
	for _, peer := range h.roster.RecentPeers() {
		members = append(members, peer.HostRecord)
		isHeard[peer.Name] = true
	}
	if records := h.records.Load(); records != nil {
		for name, stopped := range records.stopped {
			if !isHeard[name] {
				members = append(members, stopped.record)
			}
		}
	}
	return append(members, h.roster.SilentPeers()...)
}

// memberReports returns what the other members last reported, empty for those that were not heard
// from lately.
func (h *host) memberReports(members []membership.HostRecord) []quota.MemberReport {
	heard := make(map[string]membership.Heartbeat)
	for _, peer := range h.roster.RecentPeers() {
		heard[peer.Name] = peer
	}
	var reports []quota.MemberReport
	for _, m := range members {
		if m.Name == h.settings().Host {
			continue
		}
		peer, isHeard := heard[m.Name]
		reports = append(reports, quota.MemberReport{
			Divides:   m.Lends,
			Holders:   peer.Holders,
			HasNoPart: !isHeard && h.neverHadPart(m.Name),
		})
	}
	return reports
}

// neverHadPart reports whether a silent host has never had a part of the teams' rates: its record
// names no holders, for so long that it would have written them or forgotten what this host
// reported.
func (h *host) neverHadPart(name string) bool {
	records := h.records.Load()
	if records == nil {
		return false
	}
	since := records.withoutPart[name]
	return !since.IsZero() && time.Since(since) > membership.RetentionTime
}

// borrowShares asks the holders of the teams' rates for loans until the context ends.
func (p *peerMessenger) borrowShares(ctx context.Context) {
	for ctx.Err() == nil {
		holders := make(map[string]struct{})
		for _, name := range p.host.limiter.Holders() {
			holders[name] = struct{}{}
		}
		for _, peer := range p.lenders() {
			if _, isHolder := holders[peer.Name]; isHolder && peer.Lends {
				go p.borrowFrom(ctx, peer.Name, peer.PeerAddress)
			}
		}
		if p.host.limiter.AwaitsResponses() {
			sleep(ctx, minLoanInterval/2)
			continue
		}
		sleep(ctx, minLoanInterval)
		select {
		case <-ctx.Done():
		case <-p.host.loanNeeded:
		case <-time.After(loanInterval - minLoanInterval):
		}
	}
}

// lenders returns the hosts to ask for loans: those that are live, or after a restart all that may
// be, since the host has its part as soon as all have responded.
func (p *peerMessenger) lenders() []membership.HostRecord {
	if p.host.limiter.AwaitsResponses() {
		return slices.DeleteFunc(p.host.members(), func(m membership.HostRecord) bool { return m.Name == p.host.settings().Host })
	}
	var lenders []membership.HostRecord
	for _, peer := range p.host.roster.LivePeers() {
		lenders = append(lenders, peer.HostRecord)
	}
	return lenders
}

// requestLoanSoon makes the host ask for loans before the next interval.
func (h *host) requestLoanSoon() {
	select {
	case h.loanNeeded <- struct{}{}:
	default:
	}
}

// borrowFrom asks a host for a loan, and again if the lender is to know that this host uses
// less than before.
func (p *peerMessenger) borrowFrom(ctx context.Context, lender string, address netip.AddrPort) {
	for range 2 {
		request, isNeeded := p.host.limiter.RequestLoan(lender)
		if !isNeeded {
			return
		}
		askedAt := time.Now()
		response, err := p.requestLoan(ctx, address, request)
		if err != nil {
			p.host.log.Write(observe.LoanRequestFailed, zap.String("to", address.String()), zap.Error(err))
			return
		}
		if !p.host.limiter.ReceiveLoan(lender, request, askedAt, response) {
			return
		}
	}
}

// requestLoan sends a request and returns the response. A lost response lends nothing that this
// host could use.
func (p *peerMessenger) requestLoan(ctx context.Context, address netip.AddrPort, request quota.LoanRequest) (quota.LoanResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return quota.LoanResponse{}, err
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+loanPath, bytes.NewReader(body))
	if err != nil {
		return quota.LoanResponse{}, err
	}
	answer, err := p.client.Do(call)
	if err != nil {
		return quota.LoanResponse{}, err
	}
	defer answer.Body.Close()
	var response quota.LoanResponse
	if err := readJSON(answer.Body, answer.Header.Get("Content-Encoding"), maxLoanBytes, &response); err != nil {
		return quota.LoanResponse{}, err
	}
	return response, response.Validate()
}

// handleLoanRequest answers another host that asks for a loan.
func (p *peerMessenger) handleLoanRequest(w http.ResponseWriter, r *http.Request) {
	var request quota.LoanRequest
	err := readJSON(r.Body, r.Header.Get("Content-Encoding"), maxLoanBytes, &request)
	if err == nil {
		err = request.Validate()
	}
	if err != nil {
		http.Error(w, http.StatusText(http.StatusBadRequest), http.StatusBadRequest)
		p.host.log.Write(observe.LoanRequestFailed, zap.String("from", r.RemoteAddr), zap.Error(err))
		return
	}
	// An error means that the other host is gone and needs no response.
	_ = writeJSON(w, r, p.host.limiter.Lend(request))
}
