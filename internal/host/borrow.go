package host

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/membership"
	"trefoilline.example/trefoilline/observe"
)

// tokenPath is the path at which hosts ask each other for a rate limit token of a team.
const tokenPath = "/trefoilline/token"

const (
	// maxTokenRequests is how many hosts are asked for a token on behalf of one
	// request, and maxOwnerRequests how many if a few hosts own the team's rate.
	maxTokenRequests = 6
	maxOwnerRequests = 3
	// tokenRequestTimeout and ownerRequestTimeout bound each of these calls within one region, and
	// farOwnerRequestTimeout those to other regions. An owner gets more time, since nobody else
	// has tokens: the links of small hosts take tens of milliseconds for one large response.
	tokenRequestTimeout    = 40 * time.Millisecond
	ownerRequestTimeout    = 200 * time.Millisecond
	farOwnerRequestTimeout = 400 * time.Millisecond
)

// tokenLender is a host to ask for a token.
type tokenLender struct {
	address netip.AddrPort
	timeout time.Duration
}

// borrowToken gets a rate limit token for a request of a team from another host. If it gets none, it returns false and the shortest time after which one of the asked
// hosts expects to have one, zero if none said so.
func (h *host) borrowToken(ctx context.Context, team string) (time.Duration, bool) {
	if wait, shouldBorrow := h.limiter.ShouldBorrow(team); !shouldBorrow {
		return wait, false
	}
	var shortest time.Duration
	for i, lender := range h.tokenLenders(team) {
		wait, ok := h.peerMessenger.requestToken(ctx, lender.address, team, lender.timeout, i == 0 && !h.limiter.IsOwner(team))
		if ok {
			return 0, true
		}
		if wait > 0 && (shortest == 0 || wait < shortest) {
			shortest = wait
		}
	}
	h.limiter.RecordRefusal(team, shortest)
	return shortest, false
}

// tokenLenders returns the hosts to ask for a token of a team, in the order in which to ask them:
// the owners of the team's rate, those of this region first, or if all hosts own a part, those of
// this region with the lowest demand of the team, because they are the most likely to have unused
// tokens. Hosts between which nothing else decides are in random order.
func (h *host) tokenLenders(team string) []tokenLender {
	owners, isOwned := h.limiter.OwnersFor(h.settings().Region, team)
	if isOwned {
		near := h.selectLenders(maxOwnerRequests, ownerRequestTimeout, func(peer membership.Heartbeat) bool {
			return slices.Contains(owners.Near, peer.Name)
		})
		far := h.selectLenders(maxOwnerRequests, farOwnerRequestTimeout, func(peer membership.Heartbeat) bool {
			return slices.Contains(owners.Far, peer.Name)
		})
		return append(near, far...)
	}
	return h.selectLenders(maxTokenRequests, tokenRequestTimeout, func(peer membership.Heartbeat) bool {
		return peer.Region == h.settings().Region
	}, func(a, b membership.Heartbeat) int { return cmp.Compare(a.TeamDemand[team], b.TeamDemand[team]) })
}

// selectLenders returns up to limit of the live hosts for which include returns true, in the order of
// compare, else in random order.
func (h *host) selectLenders(limit int, timeout time.Duration, include func(membership.Heartbeat) bool, compare ...func(a, b membership.Heartbeat) int) []tokenLender {
	candidates := slices.DeleteFunc(h.roster.LivePeers(), func(peer membership.Heartbeat) bool { return !include(peer) })
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, c := range compare {
		slices.SortStableFunc(candidates, c)
	}
	var lenders []tokenLender
	for _, peer := range candidates[:min(len(candidates), limit)] {
		lenders = append(lenders, tokenLender{
			address: peer.PeerAddress,
			timeout: timeout,
		})
	}
	return lenders
}

// waitHeader is the header of a refusal to lend a token that says after how many milliseconds
// the host expects to have one.
const waitHeader = "Trefoilline-Token-Wait-Ms"

// requestToken asks another host for a token and reports whether it gave one, or when that
// host expects to have one, zero if it did not say. A host that does not respond counts as
// having none. If the response is lost, the token is lost too, so the team can send one
// request less but never one too many.
func (p *peerMessenger) requestToken(ctx context.Context, address netip.AddrPort, team string, timeout time.Duration, countDemand bool) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	query := url.Values{
		"team": {team},
	}
	if countDemand {
		query.Set("demand", "true")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+tokenPath+"?"+query.Encode(), nil)
	if err != nil {
		p.host.log.Write(observe.TokenRequestFailed, zap.String("to", address.String()), zap.Error(err))
		return 0, false
	}
	response, err := p.client.Do(request)
	if err != nil {
		p.host.log.Write(observe.TokenRequestFailed, zap.String("to", address.String()), zap.Error(err))
		return 0, false
	}
	_ = response.Body.Close()
	// A host of an earlier build does not say how long the wait is.
	wait, _ := strconv.ParseInt(response.Header.Get(waitHeader), 10, 32)
	return max(0, time.Duration(wait)*time.Millisecond), response.StatusCode == http.StatusNoContent
}

// handleTokenRequest answers another host that asks for a token: 204 gives it one, 409
// means that this host has none to spare.
func (p *peerMessenger) handleTokenRequest(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	wait, ok := p.host.limiter.LendToken(query.Get("team"), query.Has("demand"))
	if ok {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if wait > 0 {
		w.Header().Set(waitHeader, strconv.FormatInt(int64(min(wait, maxTokenWait)/time.Millisecond)+1, 10))
	}
	w.WriteHeader(http.StatusConflict)
}

// maxTokenWait is the longest wait that a refusal to lend a token states.
const maxTokenWait = time.Minute
