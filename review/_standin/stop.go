package main

import (
	"sync"
	"syscall"
	"time"
)

// lateSend is how long after the SIGTERM a request may be sent, at the latest, so that its end is
// excused if its server is still at work in the last sixth of GraceS.
const lateSend = 3 * time.Second

// stop stops one of three hosts with SIGTERM while reports are requested there. It counts the reports
// that were requested more than 3 s after the SIGTERM, were passed on to a server, and got no answer of
// it although the server was at work.
func stop(w *world) bool {
	w.grace = 10 * time.Second
	w.writeConfiguration(5, []route{{name: "reports", kind: "safe", service: "packhouse", timeout: 15.298, target: 2.055}}, []string{"packhouse"})
	w.startServers("packhouse", 3, 5, 6800*time.Millisecond)
	runs := newRuns()
	for _, s := range w.servers {
		s.onRun = func(id, what string) { runs.add(id, what) }
	}
	time.Sleep(500 * time.Millisecond)
	w.startHosts("a1", "b1", "c1")
	time.Sleep(2 * time.Second)
	stopped := w.hosts[0]
	stopAt := time.Now().Add(2 * time.Second)
	var pending sync.WaitGroup
	var mu sync.Mutex
	accepted, lost := 0, 0
	for ; time.Now().Before(stopAt.Add(4500 * time.Millisecond)); time.Sleep(200 * time.Millisecond) {
		pending.Go(func() {
			a := attempt{
				id:       newAttempt(),
				method:   "GET",
				path:     "/reports/17",
				deadline: 15298 * time.Millisecond,
			}
			sentAt := time.Now()
			result := w.send(stopped, a)
			isLate := sentAt.After(stopAt.Add(lateSend))
			mu.Lock()
			defer mu.Unlock()
			if isLate && runs.has(a.id, "run") {
				accepted++
				if !result.isServed() && !runs.has(a.id, "ran") {
					lost++
					w.record.Add("LOST", a.id, result, "sent", sentAt.Sub(stopAt), "after the SIGTERM")
				}
			}
		})
		if w.trouble && stopped.process != nil && time.Now().After(stopAt) && !w.isStopping {
			w.isStopping = true
			stopped.signal(syscall.SIGTERM)
			stopAt = time.Now()
			w.record.Say("%s gets SIGTERM", stopped.name)
		}
	}
	if w.trouble {
		select {
		case <-stopped.ended:
		case <-time.After(time.Until(stopAt.Add(w.grace))):
			stopped.kill()
		}
		w.record.Say("%s ended %.2f s after the SIGTERM", stopped.name, time.Since(stopAt).Seconds())
	}
	pending.Wait()
	w.record.Say("%d reports were requested more than %s after the SIGTERM and passed on to a server; %d of them got no answer of it", accepted, lateSend, lost)
	return lost > 0
}
