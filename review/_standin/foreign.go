package main

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// foreign has another writer add an entry of kind servers that lacks fields, with the address of a
// program that is no backend server. It counts the orders that end with a status 4xx of no server.
func foreign(w *world) bool {
	w.writeConfiguration(5, []route{{name: "orders", kind: "unsafe", service: "ledger", timeout: 1.5, target: 0.3}}, []string{"ledger"})
	w.startServers("ledger", 2, 4, 50*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	w.startHosts("a1", "b1", "c1")
	time.Sleep(2 * time.Second)
	if w.trouble {
		// Version, Sequence, ColdLeftS and born are missing.
		w.store.Put("servers", "exporter-1", map[string]any{
			"Address": w.startExporter(),
			"Info":    map[string]any{"Service": "ledger", "Zone": "a1", "Slots": 4},
			"Status":  map[string]any{"State": "ready"},
		})
		w.record.Say("another writer has added servers/exporter-1")
	}
	var pending sync.WaitGroup
	var mu sync.Mutex
	sent, served, denied := 0, 0, 0
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		h := w.hosts[sent%len(w.hosts)]
		sent++
		pending.Go(func() {
			a := attempt{
				id:       newAttempt(),
				method:   "POST",
				path:     "/orders/17",
				body:     "order of " + time.Now().String(),
				object:   rand.IntN(50),
				deadline: 1500 * time.Millisecond,
			}
			result := w.send(h, a)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case result.isServed():
				served++
			case result.err == nil && result.status/100 == 4 && result.status != http.StatusTooManyRequests && result.status != http.StatusMisdirectedRequest:
				denied++
				w.record.Add("DENIED", a.id, result, result.body)
			}
		})
	}
	pending.Wait()
	w.record.Say("%d orders were sent and %d served; %d were ended with a status 4xx that no server gave, %d are allowed", sent, served, denied, 5+sent/500)
	return denied > 5+sent/500
}

// startExporter starts a program that serves figures at /metrics and knows no other path.
func (w *world) startExporter() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail(err.Error())
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", func(out http.ResponseWriter, _ *http.Request) { _, _ = out.Write([]byte("up 1\n")) })
	mux.HandleFunc("/", func(out http.ResponseWriter, r *http.Request) {
		w.record.Add("exporter got", r.Header.Get("X-Attempt-Id"), r.Method, r.URL.Path)
		http.NotFound(out, r)
	})
	go func() { _ = http.Serve(listener, mux) }()
	return listener.Addr().String()
}
