package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	apiKey = "xd9dnn2ctnfzs989anu6"
	hostAt = "ficu95.example"
)

func putConfiguration(f *fleet, text string) error {
	var configuration any
	if err := json.Unmarshal([]byte(text), &configuration); err != nil {
		return err
	}
	f.store.Put("config", "main", configuration)
	return nil
}

// chalklineConfiguration has the services, routes and limits of the sheet of chalkline-gh, with the host and the key that the bench
// prints as examples.
const chalklineConfiguration = `{"Version":"r7","Services":[
 {"Name":"storefront","HealthPath":"/health","MaxConnections":390,"Protocol":"h1","Tls":false,"ColdStartS":3.0,"ColdPerS":11.0},
 {"Name":"packhouse","HealthPath":"/health","MaxConnections":390,"Protocol":"h1","Tls":false,"ColdStartS":3.0,"ColdPerS":11.0}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15},
 "Tenants":[{"Name":"huka270","ApiKeys":["xd9dnn2ctnfzs989anu6"],"Priority":1,"RatePerS":0,"Burst":0,"AllowedRegions":[]}],
 "VirtualHosts":[{"Host":"ficu95.example","Paths":[
  {"Name":"stock-check","PathPrefix":"/stock/","Kind":"safe","TimeoutS":1.2,"TargetLatencyS":0.3,"Priority":2,"Service":"storefront","MaxAttempts":2,"AllowAnonymous":false,"Affinity":true,"AllowedRegions":[]},
  {"Name":"order-pay","PathPrefix":"/orders/","Kind":"unsafe","TimeoutS":1.5,"TargetLatencyS":0.3,"Priority":1,"Service":"storefront","MaxAttempts":2,"AllowAnonymous":false,"Affinity":true,"AllowedRegions":[]},
  {"Name":"pack-download","PathPrefix":"/packs/","Kind":"download","TimeoutS":1.0,"TargetLatencyS":0.25,"Priority":2,"Service":"packhouse","MaxAttempts":2,"AllowAnonymous":false,"Affinity":true,"AllowedRegions":[]},
  {"Name":"report-pull","PathPrefix":"/reports/","Kind":"safe","TimeoutS":5.0,"TargetLatencyS":0.8,"Priority":2,"Service":"packhouse","MaxAttempts":2,"AllowAnonymous":false,"Affinity":true,"AllowedRegions":[]}]}]}`

// ratedConfiguration is the same with a rate for the team, as the bench prints it.
var ratedConfiguration = strings.Replace(chalklineConfiguration, `"RatePerS":0,"Burst":0`, `"RatePerS":275,"Burst":275`, 1)

// chalklineKinds are the kinds of requests of that sheet, at its rates.
var chalklineKinds = []kind{
	{"stock-check", "GET", "/stock/", 1200 * time.Millisecond, 332, 0},
	{"order-pay", "POST", "/orders/", 1500 * time.Millisecond, 159, 4000},
	{"pack-download", "GET", "/packs/", 1000 * time.Millisecond, 48.4, 0},
	{"report-pull", "GET", "/reports/", 5 * time.Second, 67, 0},
}

// chalklineServers starts the servers of that sheet in the given zones and registers them.
func chalklineServers(f *fleet, zones []string, onRun func(*backend, *http.Request)) ([]*backend, error) {
	const storefront, packhouse = 24, 14
	var backends []*backend
	for n := range storefront + packhouse {
		b := &backend{
			id: fmt.Sprintf("i-%08x", n+1), service: "storefront", zone: zones[n%len(zones)],
			slots: 4, queue: 12, work: 150 * time.Millisecond, onRun: onRun,
		}
		if n >= storefront {
			b.service, b.work = "packhouse", 300*time.Millisecond
		}
		if err := b.start(); err != nil {
			return nil, err
		}
		backends = append(backends, b)
		f.store.Put("servers", b.id, b.registration(1, time.Now().UnixMilli()))
	}
	return backends, nil
}

// endlessLines are short lines of a head, one after another.
var endlessLines = func() []byte {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b bytes.Buffer
	for i := 0; b.Len() < 126<<10; i++ {
		fmt.Fprintf(&b, "%c%c%c:\r\n", letters[i%26], letters[i/26%36], letters[i/26/36%36])
	}
	return b.Bytes()
}()

// sendEndless sends bytes that are no answer, without end: a head of 126 KB at once, and then a body without a length, a few bytes
// at a time, until the caller closes.
func sendEndless(connection net.Conn, r *http.Request) {
	head := append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n", r.Header.Get("X-Attempt-Id")), endlessLines...)
	head = append(head, "\r\n"...)
	if _, err := connection.Write(head); err != nil {
		return
	}
	for i := 0; ; i++ {
		time.Sleep(100 * time.Millisecond)
		if _, err := fmt.Fprintf(connection, "%d:\r\n", i); err != nil {
			return
		}
	}
}

// ranAt notes at which server each request ran.
type ranAt struct {
	mu  sync.Mutex
	ids map[string]*backend
}

func (r *ranAt) note(b *backend, request *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids[request.Header.Get("X-Attempt-Id")] = b
}

func (r *ranAt) of(id string) *backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ids[id]
}

const (
	calmTime    = 5 * time.Second
	troubleTime = 20 * time.Second
)

// playEndless has the servers of one service send bytes without end, and counts the requests of the other service's servers, which
// are sound, whose connections the hosts close without an answer.
func playEndless(r *record, root string, hasTrouble bool) (int, error) {
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
	backends, err := chalklineServers(f, []string{"accra-a", "accra-b"}, ran.note)
	if err != nil {
		return noRun, err
	}
	if err := putConfiguration(f, chalklineConfiguration); err != nil {
		return noRun, err
	}
	if err := f.start(); err != nil {
		return noRun, err
	}
	r.say("the hosts are ready")
	callers := newCallers(f.hosts, apiKey, hostAt)
	// The servers in trouble note no run.
	losses := &losses{record: r, ran: ran, lost: make(map[*host]int)}
	callers.onEnd = losses.note
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, k := range chalklineKinds {
		go callers.run(ctx, k)
	}
	time.Sleep(calmTime)
	r.say("before: %s", &callers.counts)
	if hasTrouble {
		trouble := sendEndless
		for _, b := range backends {
			if b.service == "packhouse" {
				b.trouble.Store(&trouble)
			}
		}
		r.say("the servers of packhouse send bytes without end from now on")
	}
	time.Sleep(troubleTime)
	cancel()
	r.say("at the end: %s", &callers.counts)
	return losses.judge(f.hosts), nil
}
