package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the sheets: the routes of big_config, and config_storm with a change each stormGap for stormTime.
const (
	addedRoutes = 1976
	stormGap    = 80 * time.Millisecond
	stormTime   = 2 * time.Second
	// stormPause is between two storms, of which there are at most maxStorms.
	stormPause = 400 * time.Millisecond
	maxStorms  = 36
)

// storm writes configurations, each with another version and another idle time.
type storm struct {
	fleet   *fleet
	record  *record
	version int
	routes  string
	bytes   int
}

// grow adds routes to the configuration.
func (s *storm) grow(count int) {
	var routes strings.Builder
	for n := range count {
		fmt.Fprintf(&routes, `,{"Name":"r-%07d","PathPrefix":"/added%07d/","Kind":"safe","TimeoutS":1.2,"TargetLatencyS":0.3,"Priority":2,"Service":"storefront","MaxAttempts":2,"AllowAnonymous":false,"Affinity":true,"AllowedRegions":[]}`, n, n)
	}
	s.routes = routes.String()
}

// write writes the next configuration.
func (s *storm) write() error {
	s.version += 2
	text := strings.Replace(chalklineConfiguration, `"r7"`, fmt.Sprintf(`"r%d"`, s.version), 1)
	text = strings.Replace(text, `"IdleTimeoutS":15`, fmt.Sprintf(`"IdleTimeoutS":%d`, 15+s.version%5), 1)
	text = strings.TrimSuffix(text, `]}]}`) + s.routes + `]}]}`
	s.bytes = len(text)
	return putConfiguration(s.fleet, text)
}

// playStorm has the operator change a large configuration in quick succession, and counts the requests that run at a server and whose
// connections the hosts close without an answer.
func playStorm(r *record, root string, hasTrouble bool) (int, error) {
	f, err := newFleet(r, root)
	if err != nil {
		return noRun, err
	}
	defer f.stop()
	for _, m := range []machine{
		{"edge-accra-a-1", "accra", "accra-a", 284},
		{"edge-accra-a-2", "accra", "accra-a", 284},
		{"edge-accra-b-1", "accra", "accra-b", 284},
	} {
		f.addHost(m)
	}
	ran := &ranAt{ids: make(map[string]*backend)}
	if _, err := chalklineServers(f, []string{"accra-a", "accra-b"}, func(b *backend, request *http.Request) { ran.note(b, request) }); err != nil {
		return noRun, err
	}
	s := &storm{fleet: f, record: r, version: 7}
	if err := s.write(); err != nil {
		return noRun, err
	}
	if err := f.start(); err != nil {
		return noRun, err
	}
	r.say("the hosts are ready")
	callers := newCallers(f.hosts, apiKey, hostAt)
	losses := &losses{record: r, ran: ran, lost: make(map[*host]int)}
	callers.onEnd = losses.note
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	for _, k := range chalklineKinds {
		running.Go(func() { callers.run(ctx, k) })
	}
	time.Sleep(calmTime)
	s.grow(addedRoutes)
	if err := s.write(); err != nil {
		return noRun, err
	}
	r.say("before: %s; a configuration of %d bytes is written", &callers.counts, s.bytes)
	time.Sleep(calmTime)
	changes := 0
	for n := 0; n < maxStorms; n++ {
		for end := time.Now().Add(stormTime); time.Now().Before(end); time.Sleep(stormGap) {
			if !hasTrouble {
				continue
			}
			if err := s.write(); err != nil {
				return noRun, err
			}
			changes++
		}
		time.Sleep(stormPause)
		if n%4 == 3 {
			line := fmt.Sprintf("%d storms, %d changes:", n+1, changes)
			for _, h := range f.hosts {
				line += fmt.Sprintf(" %s at most %d kB, %d ends;", h.name, h.peak(), h.endCount())
			}
			r.say("%s", line)
		}
	}
	cancel()
	running.Wait()
	r.say("at the end: %s", &callers.counts)
	return losses.judge(f.hosts), nil
}
