package host

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
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
		for name, known := range records.known {
			if known.record.Stopped && name != h.settings().Host && !isHeard[name] {
				members = append(members, known.record.HostRecord)
			}
		}
	}
	return append(members, h.roster.SilentPeers()...)
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
	if answer.StatusCode != http.StatusOK {
		return quota.LoanResponse{}, &CopyStatusError{
			Status: answer.StatusCode,
		}
	}
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
