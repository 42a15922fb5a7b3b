package host

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/bufferproxy"
	"trefoilline.example/trefoilline/membership"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/placement"
)

const (
	// contactInterval is the time between two checks whether this host may have lost its links to
	// the backend servers.
	contactInterval = 100 * time.Millisecond
	// probeInterval is the time between two attempts to reach a server while that is so.
	probeInterval = 500 * time.Millisecond
)

// watchContact finds out whether this host reaches any backend server when it suspects that it does
// not, and when it reaches one again, until the context ends.
func (h *host) watchContact(ctx context.Context) {
	var lostAt time.Time
	for ctx.Err() == nil {
		if !h.pool.SuspectsCutOff() && !h.pool.IsCutOff() {
			sleep(ctx, contactInterval)
			continue
		}
		targets := h.pool.ProbeTargets(h.settings().Zone)
		err := h.probe(ctx, targets)
		if isCutOff := err != nil && len(targets) > 0; h.pool.SetCutOff(isCutOff) {
			if isCutOff {
				lostAt = time.Now()
				h.log.Write(observe.ServersUnreachable, zap.Stringers("tried", targets), zap.Error(err))
			} else {
				h.log.Write(observe.ServersReachable, zap.Duration("after", time.Since(lostAt)))
			}
			h.peerMessenger.sendHeartbeatSoon()
		}
		sleep(ctx, probeInterval)
	}
}

// probe opens a connection to each of the servers at once, and returns nil once one is open, else
// the error of the last.
func (h *host) probe(ctx context.Context, servers []netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	dial := h.client.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	results := make(chan error, len(servers))
	var probes sync.WaitGroup
	defer probes.Wait()
	for _, server := range servers {
		probes.Go(func() {
			connection, err := dial(ctx, "tcp", server.String())
			if err == nil {
				err = connection.Close()
			}
			results <- err
		})
	}
	var err error
	for range servers {
		if err = <-results; err == nil {
			cancel()
			return nil
		}
	}
	return err
}

// isReachable reports whether a backend server accepts a new connection. It is called while a
// request waits whose connection to the server broke, and takes up to connectTimeout.
func (h *host) isReachable(server netip.AddrPort) bool {
	return h.probe(context.Background(), []netip.AddrPort{server}) == nil
}

// hasContactBeside reports whether this host reaches another server near the given one. If it does
// not, the links or the zone have failed, and not only that server. It is called after isReachable
// and takes up to connectTimeout.
func (h *host) hasContactBeside(server netip.AddrPort) bool {
	if h.pool.IsCutOff() {
		return false
	}
	neighbors := h.pool.Neighbors(server)
	// The only server can't be told from its link.
	return len(neighbors) == 0 || h.probe(context.Background(), neighbors) == nil
}

// hasLostContactBeside reports whether this host reaches no other server near the given one. A request
// that crashes servers may have crashed the few of a small zone, so in that case it also needs
// that no server elsewhere is reachable. It takes up to connectTimeout.
func (h *host) hasLostContactBeside(server netip.AddrPort) bool {
	if h.pool.IsCutOff() {
		return true
	}
	others := h.pool.Neighbors(server)
	if len(others) < placement.MaxNeighbors {
		others = append(others, h.pool.ProbeTargets(h.settings().Zone)...)
	}
	others = slices.DeleteFunc(others, func(other netip.AddrPort) bool { return other == server })
	return len(others) > 0 && h.probe(context.Background(), others) != nil
}

// findHost returns another host to which a request can be forwarded: one that reaches backend
// servers, in this region if there is one. It returns false if there is none in the regions that
// all lists allow.
func (h *host) findHost(regions [][]string, excluded []string) (bufferproxy.OtherHost, bool) {
	usable := slices.DeleteFunc(h.roster.LivePeers(), func(peer membership.Heartbeat) bool {
		canServe := peer.Forwards && peer.Ready && !peer.Draining && !peer.CutOff
		return !canServe || slices.Contains(excluded, peer.Name) || !bufferproxy.AllowsRegion(regions, peer.Region)
	})
	isNear := func(peer membership.Heartbeat) bool { return peer.Region == h.settings().Region }
	if slices.ContainsFunc(usable, isNear) {
		usable = slices.DeleteFunc(usable, func(peer membership.Heartbeat) bool { return !isNear(peer) })
	}
	if len(usable) == 0 {
		return bufferproxy.OtherHost{}, false
	}
	chosen := usable[rand.IntN(len(usable))]
	return bufferproxy.OtherHost{
		Name:    chosen.Name,
		Region:  chosen.Region,
		Address: chosen.PeerAddress,
	}, true
}
