package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// recoverTime is RecoverS of the sheet.
	recoverTime = 15 * time.Second
	// judgedTime is how long requests are judged after that.
	judgedTime = 30 * time.Second
	// leastServed is the part of the requests that must be served, one in so many, as it was before.
	leastServed = 4
)

// playReplace has all machines lose power at once. With the trouble they are removed for good, and others are added in their places;
// without it the same ones come back.
func playReplace(r *record, root string, hasTrouble bool) (int, error) {
	f, err := newFleet(r, root)
	if err != nil {
		return noRun, err
	}
	defer f.stop()
	places := []machine{
		{"edge-accra-a-1", "accra", "accra-a", 284},
		{"edge-kumasi-a-1", "kumasi", "kumasi-a", 284},
		{"edge-tamale-a-1", "tamale", "tamale-a", 284},
	}
	for _, m := range places {
		f.addHost(m)
	}
	ran := &ranAt{ids: make(map[string]*backend)}
	if _, err := chalklineServers(f, []string{"accra-a", "kumasi-a", "tamale-a"}, ran.note); err != nil {
		return noRun, err
	}
	if err := putConfiguration(f, ratedConfiguration); err != nil {
		return noRun, err
	}
	if err := f.start(); err != nil {
		return noRun, err
	}
	r.say("the hosts are ready")
	before := f.serveFor(r, f.hosts, 6*time.Second)
	r.say("before: %s", before)
	first := f.hosts
	if hasTrouble {
		for _, h := range first {
			h.remove()
		}
		f.hosts = nil
		for n, m := range places {
			m.name = fmt.Sprintf("edge-%s-%d", m.zone, n+7)
			f.addHost(m)
		}
		for _, h := range f.hosts {
			if err := h.writeSettings(false); err != nil {
				return noRun, err
			}
		}
		time.Sleep(restartDelay)
		for _, h := range f.hosts {
			h.supervised.Add(1)
			go h.supervise()
		}
		f.hosts = append(f.hosts, first...)
	} else {
		for _, h := range first {
			h.signal(syscall.SIGKILL)
		}
		time.Sleep(restartDelay)
	}
	running := f.hosts[:len(places)]
	r.say("all machines have lost power; %d are back", len(running))
	time.Sleep(recoverTime)
	after := f.serveFor(r, running, judgedTime)
	for _, h := range running {
		r.say("%s ready: %v", h.name, h.isReady())
	}
	r.say("%v after the return and later: %s", recoverTime, after)
	isServedBefore := before.ok.Load()*leastServed >= before.sent.Load()
	isServedAfter := after.ok.Load()*leastServed >= after.sent.Load()
	r.say("RECOVER: a quarter was served before: %v; after: %v", isServedBefore, isServedAfter)
	switch {
	case !isServedBefore:
		return noRun, fmt.Errorf("less than a quarter was served before the fault")
	case !isServedAfter:
		return broken, nil
	}
	return held, nil
}

// serveFor sends requests to the hosts for a time and returns how they ended.
func (f *fleet) serveFor(r *record, hosts []*host, duration time.Duration) *counts {
	callers := newCallers(hosts, apiKey, hostAt)
	callers.onEnd = func(a *attempt) {
		r.line("request %s (%s) to %s: answer %d%s after %.3f s", a.id, a.kind.name, a.host.name, a.status, a.ended, a.took.Seconds())
	}
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var running sync.WaitGroup
	for _, k := range chalklineKinds {
		k.perSecond /= 10
		running.Go(func() { callers.run(ctx, k) })
	}
	running.Wait()
	time.Sleep(2 * time.Second)
	return &callers.counts
}

// remove removes the machine for good, without SIGTERM.
func (h *host) remove() {
	h.mu.Lock()
	h.stopping = true
	if h.process != nil {
		h.process.Kill()
	}
	h.mu.Unlock()
	h.supervised.Wait()
	h.fleet.record.line("platform: %s was removed for good", h.name)
}
