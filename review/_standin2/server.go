package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// backend is a server of the users: it runs as many requests at a time as it has slots, lets a few more wait, and turns the others
// away.
type backend struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration
	// trouble is what the server does instead of answering; nil if it is sound.
	trouble atomic.Pointer[func(net.Conn, *http.Request)]
	address netip.AddrPort
	running chan struct{}
	waiting atomic.Int64
	// onRun is called when the server begins to work on a request.
	onRun    func(b *backend, r *http.Request)
	troubled atomic.Int64
	listener net.Listener
	conns    sync.Map
}

func (b *backend) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.listener = listener
	b.address = netip.MustParseAddrPort(listener.Addr().String())
	b.running = make(chan struct{}, b.slots)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(connection)
		}
	}()
	return nil
}

// registration is what the server writes into the store.
func (b *backend) registration(sequence int, born int64) map[string]any {
	return map[string]any{
		"Address": b.address.String(),
		"born":    born,
		"Info":    map[string]any{"Service": b.service, "Version": "v1", "Zone": b.zone, "Slots": b.slots},
		"Status":  map[string]any{"State": "ready", "Sequence": sequence, "ColdLeftS": 0},
	}
}

func (b *backend) serve(connection net.Conn) {
	defer connection.Close()
	b.conns.Store(connection, true)
	defer b.conns.Delete(connection)
	reader := bufio.NewReader(connection)
	for {
		connection.SetReadDeadline(time.Now().Add(10 * time.Second))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		connection.SetReadDeadline(time.Time{})
		if !b.answer(connection, request) {
			return
		}
	}
}

// answer answers one request and reports whether the connection can be used on.
func (b *backend) answer(connection net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Attempt-Id")
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != b.id {
		fmt.Fprintf(connection, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, b.id)
		return true
	}
	if trouble := b.trouble.Load(); trouble != nil {
		b.troubled.Add(1)
		(*trouble)(connection, r)
		return false
	}
	if b.waiting.Add(1) > int64(b.queue+b.slots) {
		b.waiting.Add(-1)
		fmt.Fprintf(connection, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	}
	defer b.waiting.Add(-1)
	left, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	select {
	case b.running <- struct{}{}:
	case <-time.After(time.Duration(left) * time.Millisecond):
		fmt.Fprintf(connection, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	}
	defer func() { <-b.running }()
	if b.onRun != nil {
		b.onRun(b, r)
	}
	time.Sleep(b.work)
	body := b.id + " " + r.Header.Get("X-Tenant") + " " + r.URL.RequestURI()
	_, err := fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-%s\r\nX-Server-Load: %d,%d,%d\r\nContent-Length: %d\r\n\r\n%s",
		id, id, len(b.running), max(0, int(b.waiting.Load())-len(b.running)), b.slots, len(body), body)
	return err == nil
}
