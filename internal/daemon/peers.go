package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/share"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/suspect"
)

const (
	// peerPath takes packets from other entry hosts.
	peerPath = "/trefoilline/peer"
	// peerTimeout bounds the delivery of a packet.
	peerTimeout = 2 * time.Second
	// maxPacket is the largest packet taken, in bytes.
	maxPacket = 1 << 20
	// maxQueued is how many messages wait for one host; the rest is dropped,
	// since every protocol here bears loss.
	maxQueued = 512
)

// packet is what one entry host sends another at once.
type packet struct {
	From string `json:"from"`
	// Report is what the sender measured.
	Report *steer.Report `json:"report,omitempty"`
	// Losses are backend servers lost to requests.
	Losses []suspect.Report `json:"losses,omitempty"`
	Share  []share.Envelope `json:"share,omitempty"`
}

// size returns the number of messages.
func (p packet) size() int {
	count := len(p.Share) + len(p.Losses)
	if p.Report != nil {
		count++
	}
	return count
}

// peers carries messages to other entry hosts. Messages may be lost.
type peers struct {
	host string
	log  observe.Log
	// address finds a host's address.
	address func(host string) (netip.AddrPort, bool)
	client  *http.Client

	mutex   sync.Mutex
	context context.Context
	senders map[string]*sender
}

// sender delivers packets to one host, one at a time.
type sender struct {
	mutex   sync.Mutex
	waiting packet
	busy    bool
}

// start lets senders run until the context ends.
func (p *peers) start(ctx context.Context) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.context = ctx
}

// sendShare hands envelopes over for delivery.
func (p *peers) sendShare(envelopes []share.Envelope) {
	for _, e := range envelopes {
		p.send(e.To, func(waiting *packet) {
			waiting.Share = append(waiting.Share, e)
		})
	}
}

// send adds to the packet that waits for a host.
func (p *peers) send(host string, add func(*packet)) {
	s := p.senderOf(host)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.waiting.size() >= maxQueued {
		return
	}
	add(&s.waiting)
	if !s.busy {
		s.busy = true
		go p.deliver(host, s)
	}
}

func (p *peers) senderOf(host string) *sender {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.senders == nil {
		p.senders = make(map[string]*sender)
	}
	s, known := p.senders[host]
	if !known {
		s = &sender{}
		p.senders[host] = s
	}
	return s
}

// deliver sends what waits for a host until nothing does.
func (p *peers) deliver(host string, s *sender) {
	for {
		s.mutex.Lock()
		out := s.waiting
		s.waiting = packet{}
		s.busy = out.size() > 0
		s.mutex.Unlock()
		if out.size() == 0 {
			return
		}
		out.From = p.host
		if err := p.post(p.context, host, out); err != nil {
			p.log.Write(observe.PeerUnreachable, zap.String("peer", host), zap.Error(err))
		}
	}
}

func (p *peers) post(ctx context.Context, host string, out packet) error {
	address, known := p.address(host)
	if !known {
		return &UnknownPeerError{
			Host: host,
		}
	}
	body, err := json.Marshal(out)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+peerPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := p.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusNoContent {
		return &PeerRefusedError{
			Host:   host,
			Status: response.StatusCode,
		}
	}
	return nil
}

// receivePacket takes a packet from another entry host.
func (d *daemon) receivePacket(w http.ResponseWriter, r *http.Request) {
	var in packet
	body := http.MaxBytesReader(w, r.Body, maxPacket)
	if err := json.NewDecoder(body).Decode(&in); err != nil {
		http.Error(w, "not a packet: "+err.Error(), http.StatusBadRequest)
		return
	}
	if in.Report != nil {
		d.reports.take(*in.Report)
	}
	for _, l := range in.Losses {
		d.suspects.AddReport(l)
	}
	for _, e := range in.Share {
		d.peers.sendShare(d.limits.Receive(e.Message))
	}
	if len(in.Share) > 0 {
		d.handler.Wake()
	}
	w.WriteHeader(http.StatusNoContent)
}
