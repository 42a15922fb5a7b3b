package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// targetRequests is how many requests of each kind are sent.
const targetRequests = 20

// playTarget sends requests whose queries hold the name of a parameter that the project uses on its own interface, and compares what the
// servers run with what was sent.
func playTarget(r *record, root string, hasTrouble bool) (int, error) {
	f, err := newFleet(r, root)
	if err != nil {
		return noRun, err
	}
	defer f.stop()
	f.addHost(machine{"edge-accra-a-1", "accra", "accra-a", 284})
	f.addHost(machine{"edge-accra-b-1", "accra", "accra-b", 284})
	var mu sync.Mutex
	ran := make(map[string]string)
	if _, err := chalklineServers(f, []string{"accra-a", "accra-b"}, func(b *backend, request *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		ran[request.Header.Get("X-Attempt-Id")] = request.Method + " " + request.RequestURI
	}); err != nil {
		return noRun, err
	}
	if err := putConfiguration(f, chalklineConfiguration); err != nil {
		return noRun, err
	}
	if err := f.start(); err != nil {
		return noRun, err
	}
	kinds := []kind{{name: "stock-check", method: "GET", path: "/stock/17?size=2&find=chalk&page=", deadline: 1200 * time.Millisecond}}
	if hasTrouble {
		kinds = append(kinds,
			kind{name: "stock-check", method: "GET", path: "/stock/17?size=2&find=trefoilline-key&page=", deadline: 1200 * time.Millisecond},
			kind{name: "order-pay", method: "POST", path: "/orders/17?amount=5&note=Trefoilline_Key%20ring&page=", deadline: 1500 * time.Millisecond, bodyBytes: 400})
	}
	callers := newCallers(f.hosts, apiKey, hostAt)
	changed := 0
	callers.onEnd = func(a *attempt) {
		mu.Lock()
		defer mu.Unlock()
		r.line("request %s: sent %s, answer %d%s, ran: %s", a.id, a.target, a.status, a.ended, ran[a.id])
		if ran[a.id] != "" && ran[a.id] != a.target {
			changed++
		}
	}
	for n := range targetRequests {
		for _, k := range kinds {
			callers.send(k, f.hosts[n%len(f.hosts)])
		}
	}
	r.say("%s", &callers.counts)
	r.say("UNASKED: servers ran %d requests with another query than their clients sent", changed)
	if changed > 0 {
		return broken, nil
	}
	return held, nil
}

// requestTarget is the first line of a request without the version.
func requestTarget(k kind, n int64) string { return fmt.Sprintf("%s %s%d", k.method, k.path, n) }
