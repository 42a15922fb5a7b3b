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

	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/roster"
)

// tokenPath is where hosts ask others for a token of a team's rate.
const tokenPath = "/trefoilline/token"

const (
	// lenders is how many hosts are asked for a token.
	lenders = 6
	// lendTimeout bounds each such call; the hosts are in one region.
	lendTimeout = 40 * time.Millisecond
)

// borrow gets a token for a request of a team from a host of this region, first those
// that were lately asked for least: their tokens lie unused.
func (h *host) borrow(ctx context.Context, team string) bool {
	if !h.book.ShouldBorrow(team) {
		return false
	}
	for _, b := range h.mayLend(team) {
		if h.peers.askToken(ctx, b.PeerAddress, team) {
			return true
		}
	}
	return false
}

// mayLend returns the hosts to ask for a token, in order.
func (h *host) mayLend(team string) []roster.Heartbeat {
	near := slices.DeleteFunc(h.roster.LivePeers(), func(b roster.Heartbeat) bool {
		return b.Region != h.settings().Region
	})
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	slices.SortStableFunc(near, func(a, b roster.Heartbeat) int {
		return cmp.Compare(a.TeamDemand[team], b.TeamDemand[team])
	})
	return near[:min(len(near), lenders)]
}

// askToken asks a host for a token. One that does not answer lends none; a token that
// is lost on the way is a request less.
func (p *peers) askToken(ctx context.Context, address netip.AddrPort, team string) bool {
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
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

// lend answers another host that asks for a token.
func (p *peers) lend(w http.ResponseWriter, r *http.Request) {
	if !p.host.book.LendToken(r.URL.Query().Get("team")) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
