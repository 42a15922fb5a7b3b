package host

import (
	"context"
	"encoding/json"
	"net/http"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/membership"
	"trefoilline.example/trefoilline/observe"
)

// digestPath is the path at which hosts receive digests of relays.
const digestPath = "/trefoilline/digest"

// maxDigestBytes bounds the body of a digest.
const maxDigestBytes = 4 << 20

// relayHint is the response to a heartbeat or a digest by a host that knows other relays of the
// sender's region than the sender seems to. It names them.
type relayHint struct {
	Relays []membership.HostRecord `json:"relays"`
}

// sendDigests sends a digest to each of the targets, except those to which an earlier message
// is still being sent.
func (p *peerMessenger) sendDigests(ctx context.Context, own membership.Heartbeat, targets []membership.HostRecord) {
	if len(targets) == 0 {
		return
	}
	p.publisher.Update(own, p.host.roster)
	for _, target := range targets {
		if p.markSending(target.PeerAddress) {
			go p.sendDigest(ctx, target)
		}
	}
}

// sendDigest sends a digest. The next one repeats what was not acknowledged, or the whole list
// if the target lacks what this one follows from.
func (p *peerMessenger) sendDigest(ctx context.Context, target membership.HostRecord) {
	digest := p.publisher.DigestFor(target)
	body, err := json.Marshal(digest)
	if err != nil {
		p.unmarkSending(target.PeerAddress)
		p.host.log.Write(observe.HeartbeatSendFailed, zap.Error(err))
		return
	}
	body, isCompressed := compress(body)
	status, response := p.post(ctx, target.PeerAddress, digestPath, body, isCompressed)
	switch status {
	case http.StatusOK, http.StatusNoContent:
		p.publisher.Acknowledge(target, digest)
		p.readRelayHint(response)
	case http.StatusConflict:
		p.publisher.Forget(target)
	}
}

// handleDigest applies a digest of a relay. It responds with status 409 if the digest does not
// follow from the last one of that relay, so that the relay sends its whole list.
func (p *peerMessenger) handleDigest(w http.ResponseWriter, r *http.Request) {
	var digest membership.Digest
	if err := readJSON(r.Body, r.Header.Get("Content-Encoding"), maxDigestBytes, &digest); err != nil {
		http.Error(w, http.StatusText(http.StatusBadRequest), http.StatusBadRequest)
		p.host.log.Write(observe.HeartbeatUnreadable, zap.String("from", r.RemoteAddr), zap.Error(err))
		return
	}
	if !p.host.roster.ReceiveDigest(digest) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	p.host.addCrashReports(digest.CrashReports)
	p.host.addServerLimits(digest.ServerLimits)
	p.host.addLeavingServers(digest.LeavingServers, digest.Relay.Name)
	own, draining := p.host.record(), p.host.draining.Load()
	answerWithHint(w, p.host.roster.HintForDigest(own, draining, digest.Relay))
	// The sender need not wait until this host has caught up.
	go p.host.catchUp(context.WithoutCancel(r.Context()), membership.Heartbeat{
		HostRecord:    digest.Relay,
		StoreVersions: digest.StoreVersions,
	})
}

// answerWithHint responds to a heartbeat or a digest: with status 204, or with relays that the
// sender does not seem to know.
func answerWithHint(w http.ResponseWriter, relays []membership.HostRecord) {
	if len(relays) == 0 {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the sender is gone and needs no response.
	_ = json.NewEncoder(w).Encode(relayHint{
		Relays: relays,
	})
}

// readRelayHint adds the relays that a response to a heartbeat names to the known hosts.
func (p *peerMessenger) readRelayHint(body []byte) {
	if len(body) == 0 {
		return
	}
	var hint relayHint
	if err := json.Unmarshal(body, &hint); err != nil {
		p.host.log.Write(observe.HeartbeatUnreadable, zap.Error(err))
		return
	}
	p.host.roster.AddRecords(hint.Relays)
}
