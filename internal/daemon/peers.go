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

	"trefoilline.example/trefoilline/crashdetect"
	"trefoilline.example/trefoilline/globallimit"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/steer"
)

const (
	// batchPath is the path to which other entry hosts send message batches.
	batchPath = "/trefoilline/peer"
	// peerTimeout is the timeout of a call to another entry host.
	peerTimeout = 2 * time.Second
	// maxBodyBytes is the maximum size of a message batch and of an operator's query.
	maxBodyBytes = 1 << 20
	// maxQueuedMessages is how many messages are queued for one host. Further messages
	// are dropped, because the limiter, the measurements and the crash detector
	// tolerate lost messages.
	maxQueuedMessages = 512
)

// messageBatch is the body of one call to another entry host. It holds all messages that
// were queued for the host.
type messageBatch struct {
	From string `json:"from"`
	// Report holds the sender's latest measurements.
	Report *steer.Report `json:"report,omitempty"`
	// CrashReports report requests that crashed backend servers, or clear earlier
	// reports.
	CrashReports []crashdetect.Report `json:"losses,omitempty"`
	// LimiterMessages are messages between the limiters of the hosts.
	LimiterMessages []globallimit.Envelope `json:"share,omitempty"`
}

// messageCount returns the number of messages in the batch.
func (b messageBatch) messageCount() int {
	count := len(b.LimiterMessages) + len(b.CrashReports)
	if b.Report != nil {
		count++
	}
	return count
}

// batchSender sends the measurements of this host, crash reports and messages of the
// limiter to other entry hosts. Messages may be lost. The records of the fleet's members
// and the feeds go through [peer.Transport] instead.
type batchSender struct {
	host string
	log  observe.Log
	// address returns a host's address, and false if it is not known.
	address func(host string) (netip.AddrPort, bool)
	client  *http.Client

	mutex           sync.Mutex
	deliveryContext context.Context
	queues          map[string]*batchQueue
}

// batchQueue holds the messages for one host. Batches are delivered to a host one at a
// time; messages enqueued meanwhile form the next batch.
type batchQueue struct {
	mutex   sync.Mutex
	pending messageBatch
	sending bool
}

// setContext sets the context of deliveries. It must be called before enqueue.
func (p *batchSender) setContext(ctx context.Context) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.deliveryContext = ctx
}

// sendLimiterMessages enqueues messages of the limiter.
func (p *batchSender) sendLimiterMessages(messages []globallimit.Envelope) {
	for _, e := range messages {
		p.enqueue(e.To, func(pending *messageBatch) {
			pending.LimiterMessages = append(pending.LimiterMessages, e)
		})
	}
}

// enqueue calls add with the pending batch for a host, and starts the delivery if none
// is running. It drops the message if the queue is full.
func (p *batchSender) enqueue(host string, add func(*messageBatch)) {
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
func (p *batchSender) queueOf(host string) *batchQueue {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.queues == nil {
		p.queues = make(map[string]*batchQueue)
	}
	q, found := p.queues[host]
	if !found {
		q = &batchQueue{}
		p.queues[host] = q
	}
	return q
}

// deliver sends the pending batches for a host until its queue is empty.
func (p *batchSender) deliver(host string, q *batchQueue) {
	for {
		q.mutex.Lock()
		outgoing := q.pending
		q.pending = messageBatch{}
		q.sending = outgoing.messageCount() > 0
		q.mutex.Unlock()
		if outgoing.messageCount() == 0 {
			return
		}
		outgoing.From = p.host
		if err := p.postBatch(p.deliveryContext, host, outgoing); err != nil {
			p.log.Write(observe.PeerUnreachable, zap.String("peer", host), zap.Error(err))
		}
	}
}

// postBatch sends a batch to a host. It returns an [UnknownPeerError] or a
// [PeerStatusError], or the error of the HTTP client.
func (p *batchSender) postBatch(ctx context.Context, host string, outgoing messageBatch) error {
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
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+batchPath, bytes.NewReader(body))
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

// receiveBatch handles a message batch from another entry host.
func (d *daemon) receiveBatch(w http.ResponseWriter, r *http.Request) {
	var received messageBatch
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(&received); err != nil {
		http.Error(w, "the body is not a valid message batch: "+err.Error(), http.StatusBadRequest)
		return
	}
	if received.Report != nil {
		d.hostMeasurements.update(*received.Report)
	}
	for _, report := range received.CrashReports {
		d.crashDetector.AddReport(report)
	}
	for _, e := range received.LimiterMessages {
		d.batchSender.sendLimiterMessages(d.limiter.Receive(e.Message))
	}
	// The messages may have brought tokens or slots for queued requests.
	if len(received.LimiterMessages) > 0 {
		d.handler.DispatchQueued()
	}
	w.WriteHeader(http.StatusNoContent)
}
