package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// kind is a kind of request of the sheet.
type kind struct {
	name, method, path string
	deadline           time.Duration
	perSecond          float64
	bodyBytes          int
}

// attempt is what a client saw of one request.
type attempt struct {
	id   string
	kind kind
	// target is the method and the target of the request line.
	target string
	host   *host
	// kept is true if an earlier request was answered on the connection.
	kept bool
	// status is zero if there was no complete answer; ended then says how it ended.
	status int
	ended  string
	took   time.Duration
}

// How a request without an answer ended.
const (
	noConnection = ", no connection"
	closedByHost = ", closed by the host"
	deadlineOver = ", deadline over"
)

// callers sends the requests of the kinds at their rates to the hosts in turn, each with an ID of its own, on connections that are
// kept. It sends nothing again.
type callers struct {
	hosts    []*host
	key, at  string
	sequence atomic.Int64
	counts   counts
	// onEnd is called with each request at its end.
	onEnd func(*attempt)

	mu   sync.Mutex
	idle map[*host][]*keptConnection
}

type keptConnection struct {
	net.Conn
	reader *bufio.Reader
	used   bool
}

type counts struct{ sent, ok, refused, failed, unanswered atomic.Int64 }

func newCallers(hosts []*host, key, at string) *callers {
	return &callers{hosts: hosts, key: key, at: at, idle: make(map[*host][]*keptConnection)}
}

// run sends until the context ends.
func (c *callers) run(ctx context.Context, k kind) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / k.perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			go c.send(k, c.hosts[n%len(c.hosts)])
		}
	}
}

// connect returns a kept connection to the host, or a new one.
func (c *callers) connect(h *host) (*keptConnection, error) {
	c.mu.Lock()
	if kept := c.idle[h]; len(kept) > 0 {
		last := kept[len(kept)-1]
		c.idle[h] = kept[:len(kept)-1]
		c.mu.Unlock()
		return last, nil
	}
	c.mu.Unlock()
	connection, err := net.DialTimeout("tcp", h.entry.String(), time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConnection{Conn: connection, reader: bufio.NewReader(connection)}, nil
}

// send sends one request and counts how it ended.
func (c *callers) send(k kind, h *host) {
	n := c.sequence.Add(1)
	a := &attempt{id: fmt.Sprintf("%016x", n), kind: k, target: requestTarget(k, n), host: h}
	c.counts.sent.Add(1)
	start := time.Now()
	c.try(a, n)
	a.took = time.Since(start)
	switch {
	case a.status == 0:
		c.counts.unanswered.Add(1)
	case a.status/100 == 2:
		c.counts.ok.Add(1)
	case a.status == 503 || a.status == 429:
		c.counts.refused.Add(1)
	default:
		c.counts.failed.Add(1)
	}
	if c.onEnd != nil {
		c.onEnd(a)
	}
}

func (c *callers) try(a *attempt, n int64) {
	connection, err := c.connect(a.host)
	if err != nil {
		a.ended = noConnection
		return
	}
	a.kept = connection.used
	connection.SetDeadline(time.Now().Add(a.kind.deadline))
	request := fmt.Sprintf("%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nCookie: X-Affinity-Key=%d\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		a.target, c.at, a.id, n%997, a.kind.deadline.Milliseconds(), c.key)
	if a.kind.method != http.MethodGet {
		request += fmt.Sprintf("Content-Length: %d\r\n", a.kind.bodyBytes)
	}
	content := append([]byte(request+"\r\n"), make([]byte, a.kind.bodyBytes)...)
	if _, err = connection.Write(content); err == nil {
		err = c.readAnswer(connection, a)
	}
	if err != nil {
		connection.Close()
		a.status, a.ended = 0, closedByHost
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			a.ended = deadlineOver
		}
	}
}

func (c *callers) readAnswer(connection *keptConnection, a *attempt) error {
	response, err := http.ReadResponse(connection.reader, &http.Request{Method: a.kind.method})
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	a.status = response.StatusCode
	if response.Close {
		connection.Close()
		return nil
	}
	connection.used = true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[a.host] = append(c.idle[a.host], connection)
	return nil
}

func (c *counts) String() string {
	return fmt.Sprintf("sent %d, answered with success %d, refused %d, failed %d, without an answer %d",
		c.sent.Load(), c.ok.Load(), c.refused.Load(), c.failed.Load(), c.unanswered.Load())
}
