package main

import (
	"sync"
	"time"
)

// halfClose has clients send orders. A fifth of them leave after half of the route's objective: they
// close their sending side and read what still comes.
func halfClose(w *world) bool {
	w.writeConfiguration(5, []route{{name: "orders", kind: "unsafe", service: "ledger", timeout: 1.5, target: 0.3}}, []string{"ledger"})
	w.startServers("ledger", 2, 4, 312*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	w.startHosts("a1", "b1", "c1")
	time.Sleep(2 * time.Second)
	w.record.Say("the hosts are ready")
	var pending sync.WaitGroup
	var mu sync.Mutex
	served, unsealed, other := 0, 0, 0
	for i := range 300 {
		a := attempt{
			id:       newAttempt(),
			method:   "POST",
			path:     "/orders/17",
			body:     "pay once",
			deadline: 1500 * time.Millisecond,
		}
		if w.trouble && i%5 == 0 {
			a.endSending = 150 * time.Millisecond
		}
		pending.Go(func() {
			result := w.send(w.hosts[i%len(w.hosts)], a)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case result.isServed():
				served++
			case result.err == nil && result.status/100 == 2:
				unsealed++
				w.record.Add("MIXED", a.id, result)
			default:
				other++
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	pending.Wait()
	w.record.Say("%d orders were served, %d got a success without a server's seal, %d ended otherwise", served, unsealed, other)
	return unsealed > 0
}
