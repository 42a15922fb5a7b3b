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
	// peerPath is the path to which other entry hosts send packets.
	peerPath = "/trefoilline/peer"
	// peerTimeout is the timeout of a call to another entry host.
	peerTimeout = 2 * time.Second
	// maxPacketBytes is the maximum size of a received packet.
	maxPacketBytes = 1 << 20
	// maxQueuedMessages is how many messages are queued for one host. Further messages
	// are dropped, which every protocol here tolerates.
	maxQueuedMessages = 512
)

// packet is the body of one call to another entry host: all messages queued for it.
type packet struct {
	From string `json:"from"`
	// Report is the sender's latest measurements.
	Report *steer.Report `json:"report,omitempty"`
	// CrashReports say which requests crashed backend servers, or did not.
	CrashReports []suspect.Report `json:"losses,omitempty"`
	// LimiterMessages are messages of the limiters.
	LimiterMessages []share.Envelope `json:"share,omitempty"`
}

// messageCount returns the number of messages in the packet.
func (p packet) messageCount() int {
	count := len(p.LimiterMessages) + len(p.CrashReports)
	if p.Report != nil {
		count++
	}
	return count
}

// peerSender sends messages to other entry hosts. Messages may be lost.
type peerSender struct {
	host string
	log  observe.Log
	// address returns a host's address, and false if it is not known.
	address func(host string) (netip.AddrPort, bool)
	client  *http.Client

	mutex   sync.Mutex
	context context.Context
	queues  map[string]*peerQueue
}

// peerQueue holds the messages for one host. Packets to a host are delivered one at a
// time; messages enqueued meanwhile form the next packet.
type peerQueue struct {
	mutex   sync.Mutex
	pending packet
	sending bool
}

// setContext sets the context of deliveries. It must be called before enqueue.
func (p *peerSender) setContext(ctx context.Context) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.context = ctx
}

// sendLimitEnvelopes enqueues messages of the limiter.
func (p *peerSender) sendLimitEnvelopes(envelopes []share.Envelope) {
	for _, e := range envelopes {
		p.enqueue(e.To, func(pending *packet) {
			pending.LimiterMessages = append(pending.LimiterMessages, e)
		})
	}
}

// enqueue calls add with the pending packet for a host, and starts the delivery if none
// is running. It drops the message if the queue is full.
func (p *peerSender) enqueue(host string, add func(*packet)) {
	q := p.queueOf(host)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.pending.messageCount() >= maxQueuedMessages {
		return
	}
	add(&q.pending)
	if !q.sending {
		q.sending = true
		go p.deliver(host, q)
	}
}

// queueOf returns the queue of a host, and creates it if there is none.
func (p *peerSender) queueOf(host string) *peerQueue {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.queues == nil {
		p.queues = make(map[string]*peerQueue)
	}
	q, found := p.queues[host]
	if !found {
		q = &peerQueue{}
		p.queues[host] = q
	}
	return q
}

// deliver sends the pending packets for a host until its queue is empty.
func (p *peerSender) deliver(host string, q *peerQueue) {
	for {
		q.mutex.Lock()
		outgoing := q.pending
		q.pending = packet{}
		q.sending = outgoing.messageCount() > 0
		q.mutex.Unlock()
		if outgoing.messageCount() == 0 {
			return
		}
		outgoing.From = p.host
		if err := p.postPacket(p.context, host, outgoing); err != nil {
			p.log.Write(observe.PeerUnreachable, zap.String("peer", host), zap.Error(err))
		}
	}
}

// postPacket sends a packet to a host. It returns an [UnknownPeerError] or a
// [PeerStatusError], or the error of the HTTP client.
func (p *peerSender) postPacket(ctx context.Context, host string, outgoing packet) error {
	address, found := p.address(host)
	if !found {
		return &UnknownPeerError{
			Host: host,
		}
	}
	body, err := json.Marshal(outgoing)
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
		return &PeerStatusError{
			Host:   host,
			Status: response.StatusCode,
		}
	}
	return nil
}

// receivePacket handles a packet from another entry host.
func (d *daemon) receivePacket(w http.ResponseWriter, r *http.Request) {
	var received packet
	body := http.MaxBytesReader(w, r.Body, maxPacketBytes)
	if err := json.NewDecoder(body).Decode(&received); err != nil {
		http.Error(w, "the body is not a valid packet: "+err.Error(), http.StatusBadRequest)
		return
	}
	if received.Report != nil {
		d.reports.add(*received.Report)
	}
	for _, l := range received.CrashReports {
		d.crashDetector.AddReport(l)
	}
	for _, e := range received.LimiterMessages {
		d.peers.sendLimitEnvelopes(d.limiter.Receive(e.Message))
	}
	if len(received.LimiterMessages) > 0 {
		d.handler.DispatchQueued()
	}
	w.WriteHeader(http.StatusNoContent)
}
