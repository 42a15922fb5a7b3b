package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// stableWindow is StableWindowS, and cutTime how long the host is cut off from the servers.
	stableWindow = 4 * time.Second
	cutTime      = 8 * time.Second
	// afterTime is for how long requests are still sent when the links are back.
	afterTime = 20 * time.Second
)

// partition cuts one of three hosts off from all servers for 8 s: its connections are reset and new
// ones are refused. The clients of each zone renew the orders of their zone, at the host there. From
// 4 s after the cut began, the host must serve first tries two thirds as often as the others do.
func partition(w *world) bool {
	w.writeConfiguration(5, []route{{name: "orders", kind: "unsafe", service: "ledger", timeout: 1.5, target: 0.3}}, []string{"ledger"})
	w.startServers("ledger", 3, 4, 100*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	links, address := newLinks(w.store, w.servers)
	w.storeOf = map[string]string{"edge-a1-1": address}
	w.startHosts("a1", "b1", "c1")
	time.Sleep(3 * time.Second)
	start := time.Now()
	cutAt := start.Add(2 * time.Second)
	var pending sync.WaitGroup
	tallies := make(map[*Host]*tally)
	for _, h := range w.hosts {
		t := &tally{from: cutAt.Add(stableWindow), to: cutAt.Add(cutTime)}
		tallies[h] = t
		pending.Go(func() { w.sendOrders(h, t, cutAt.Add(cutTime+afterTime)) })
	}
	time.Sleep(time.Until(cutAt))
	if w.trouble {
		links.Cut()
		w.record.Say("%s is cut off from all servers", w.hosts[0].name)
	}
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	if w.trouble {
		links.Open()
		w.record.Say("its links are back")
	}
	pending.Wait()
	cut, others := tallies[w.hosts[0]], &tally{}
	for _, h := range w.hosts {
		t := tallies[h]
		w.record.Say("%s: %d of %d first tries served before the cut, %d of %d from %s after its begin, %d of %d after its end", h.name,
			t.before.served, t.before.sent, t.during.served, t.during.sent, stableWindow, t.after.served, t.after.sent)
		if h != w.hosts[0] {
			others.during.sent += t.during.sent
			others.during.served += t.during.served
		}
	}
	share, shareOfOthers := cut.during.share(), others.during.share()
	failed := cut.during.sent - cut.during.served
	w.record.Say("served: %.2f at the host that is cut off, %.2f at the others; %d first tries failed there", share, shareOfOthers, failed)
	return share < shareOfOthers*2/3 && float64(failed) > 10+float64(cut.during.sent)/50
}

// tally counts first tries before the cut, in the time in which the rule holds, and after the cut.
type tally struct {
	from, to              time.Time
	mu                    sync.Mutex
	before, during, after count
}

type count struct{ sent, served int }

func (c count) share() float64 { return float64(c.served) / float64(max(c.sent, 1)) }

func (t *tally) add(sentAt time.Time, isServed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.during
	switch {
	case sentAt.Before(t.from.Add(-stableWindow)):
		c = &t.before
	case sentAt.Before(t.from):
		return
	case sentAt.After(t.to):
		c = &t.after
	}
	c.sent++
	if isServed {
		c.served++
	}
}

// sendOrders sends 40 first tries a second to renew the orders of a host's zone.
func (w *world) sendOrders(h *Host, t *tally, end time.Time) {
	var pending sync.WaitGroup
	for ; time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
		pending.Go(func() {
			sentAt := time.Now()
			result := w.send(h, attempt{
				id:       newAttempt(),
				method:   "POST",
				path:     "/orders/renew/" + h.zone,
				object:   rand.IntN(50),
				deadline: 1500 * time.Millisecond,
			})
			t.add(sentAt, result.isServed())
		})
	}
	pending.Wait()
}
