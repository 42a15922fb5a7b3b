package host

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/membership"
	"trefoilline.example/trefoilline/observe"
)

// tokenPath is the path at which hosts ask each other for a rate limit token of a team.
const tokenPath = "/trefoilline/token"

const (
	// maxTokenRequests is how many hosts are asked for a token on behalf of one
	// request.
	maxTokenRequests = 6
	// tokenRequestTimeout bounds each of these calls. They stay within one region.
	tokenRequestTimeout = 40 * time.Millisecond
)

// borrowToken gets a rate limit token for a request of a team from another host of this
// region and reports whether it got one. It asks the hosts with the lowest demand of the
// team first, because they are the most likely to have unused tokens.
func (h *host) borrowToken(ctx context.Context, team string) bool {
	if !h.limiter.ShouldBorrow(team) {
		return false
	}
	for _, peer := range h.tokenLenders(team) {
		if h.peerMessenger.requestToken(ctx, peer.PeerAddress, team) {
			return true
		}
	}
	return false
}

// tokenLenders returns the hosts to ask for a token of a team, in the order in which to
// ask them. Hosts with equal demand are in random order.
func (h *host) tokenLenders(team string) []membership.Heartbeat {
	candidates := slices.DeleteFunc(h.roster.LivePeers(), func(peer membership.Heartbeat) bool {
		return peer.Region != h.settings().Region
	})
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b membership.Heartbeat) int {
		return cmp.Compare(a.TeamDemand[team], b.TeamDemand[team])
	})
	return candidates[:min(len(candidates), maxTokenRequests)]
}

// requestToken asks another host for a token and reports whether it gave one. A host that
// does not respond counts as having none. If the response is lost, the token is lost too, so
// the team can send one request less but never one too many.
func (p *peerMessenger) requestToken(ctx context.Context, address netip.AddrPort, team string) bool {
	ctx, cancel := context.WithTimeout(ctx, tokenRequestTimeout)
	defer cancel()
	target := "http://" + address.String() + tokenPath + "?" + url.Values{
		"team": {team},
	}.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		p.host.log.Write(observe.TokenRequestFailed, zap.String("to", address.String()), zap.Error(err))
		return false
	}
	response, err := p.client.Do(request)
	if err != nil {
		p.host.log.Write(observe.TokenRequestFailed, zap.String("to", address.String()), zap.Error(err))
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusNoContent
}

// handleTokenRequest answers another host that asks for a token: 204 gives it one, 409
// means that this host has none to spare.
func (p *peerMessenger) handleTokenRequest(w http.ResponseWriter, r *http.Request) {
	if !p.host.limiter.LendToken(r.URL.Query().Get("team")) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
