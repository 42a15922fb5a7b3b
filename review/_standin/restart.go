package main

import (
	"strings"
	"sync"
	"syscall"
	"time"
)

// recoverTime is RecoverS, after which a quarter of the requests must be served again.
const recoverTime = 15 * time.Second

// restart loses one of five hosts for good, without SIGTERM; a second one leaves with SIGTERM. When
// the second one's record is gone, all processes are killed and start again.
func restart(w *world) bool {
	w.writeConfiguration(5, []route{{name: "stock", kind: "safe", service: "shelf", timeout: 1.2, target: 0.3}}, []string{"shelf"})
	w.startServers("shelf", 2, 4, 50*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	w.startHosts("a1", "b1", "c1", "a1", "b1")
	time.Sleep(3 * time.Second)
	lost, leaving, staying := w.hosts[0], w.hosts[1], w.hosts[2:]
	if w.trouble {
		lost.kill()
		w.record.Say("%s is lost for good", lost.name)
	} else {
		staying = append(staying, lost)
	}
	leaving.signal(syscall.SIGTERM)
	w.record.Say("%s is told to stop", leaving.name)
	time.Sleep(6 * time.Second)
	leaving.kill()
	before := w.sendFor(staying, 3*time.Second)
	w.awaitRemoval(leaving, 50*time.Second)
	time.Sleep(4 * time.Second)
	for _, h := range staying {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range staying {
		<-h.ended
	}
	w.record.Say("all processes are killed")
	time.Sleep(500 * time.Millisecond)
	for _, h := range staying {
		h.start()
	}
	time.Sleep(recoverTime + time.Second)
	after := w.sendFor(staying, 5*time.Second)
	w.record.Say("served before: %.2f of the requests; %s after the restart: %.2f", before, recoverTime, after)
	for _, h := range staying {
		w.record.Say("%s is ready: %t", h.name, h.isReady())
	}
	if before < 0.25 {
		fail("too few requests were served before the fault")
	}
	return after < 0.25
}

// awaitRemoval waits until the record of a host that has left is gone from the store.
func (w *world) awaitRemoval(h *Host, limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if w.store.Spec("entry-hosts", h.name) == nil {
			w.record.Say("the record of %s is gone; there are those of %s", h.name, strings.Join(w.store.Names("entry-hosts"), ", "))
			return
		}
	}
	w.record.Say("the record of %s is still there", h.name)
}

// sendFor sends 40 requests a second to the hosts in turn, and returns which fraction was served.
func (w *world) sendFor(hosts []*Host, duration time.Duration) float64 {
	var pending sync.WaitGroup
	var mu sync.Mutex
	sent, served := 0, 0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
		h := hosts[sent%len(hosts)]
		sent++
		pending.Go(func() {
			result := w.send(h, attempt{
				id:       newAttempt(),
				method:   "GET",
				path:     "/stock/17",
				deadline: 1200 * time.Millisecond,
			})
			mu.Lock()
			defer mu.Unlock()
			if result.isServed() {
				served++
			}
		})
	}
	pending.Wait()
	return float64(served) / float64(sent)
}
