// Command standin runs the cases of the review: it starts entry hosts as processes of their own, and
// plays the platform's store, the backend servers and the clients.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// world is what surrounds the entry hosts of a case.
type world struct {
	record  *Record
	folder  string
	store   *Store
	address string
	hosts   []*Host
	servers []*Server
	trouble bool
	// grace is GraceS.
	grace time.Duration
	// isStopping is true once a host was told to stop.
	isStopping bool
	// storeOf holds the addresses at which some hosts read the store.
	storeOf map[string]string
}

var current *world

// fail ends a case that can't run.
func fail(text string) {
	fmt.Fprintln(os.Stderr, "could not run:", text)
	end(2)
}

// end ends all processes of the case.
func end(code int) {
	if current != nil {
		for _, h := range current.hosts {
			if h.process != nil {
				h.signal(syscall.SIGKILL)
			}
		}
		current.record.close()
		_ = os.RemoveAll(current.folder)
	}
	os.Exit(code)
}

const (
	key     = "s989anu6wsjnbanfqasn"
	virtual = "shop.example"
)

func newWorld(recordPath string, trouble bool) *world {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fail(err.Error())
	}
	w := &world{
		record:  newRecord(recordPath),
		folder:  folder,
		store:   newStore(),
		trouble: trouble,
		grace:   6 * time.Second,
	}
	current = w
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail(err.Error())
	}
	w.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, w.store) }()
	return w
}

// route is a route of the configuration.
type route struct {
	name    string
	kind    string
	service string
	timeout float64
	target  float64
}

// writeConfiguration writes a configuration as an operator does.
func (w *world) writeConfiguration(version int, routes []route, services []string) {
	var paths, listed []any
	for _, r := range routes {
		paths = append(paths, map[string]any{
			"Name": "r-" + r.name, "PathPrefix": "/" + r.name + "/", "Kind": r.kind, "TimeoutS": r.timeout, "TargetLatencyS": r.target,
			"Priority": 1, "Service": r.service, "MaxAttempts": 2, "AllowAnonymous": false, "Affinity": true, "AllowedRegions": []string{},
		})
	}
	for _, s := range services {
		listed = append(listed, map[string]any{
			"Name": s, "HealthPath": "/health", "MaxConnections": 330, "Protocol": "h1", "Tls": false, "ColdStartS": 3.0, "ColdPerS": 15.0,
		})
	}
	w.store.Put("config", "main", map[string]any{
		"Version":  fmt.Sprintf("r%d", version),
		"Services": listed,
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
		"Tenants": []any{map[string]any{
			"Name": "north", "ApiKeys": []string{key}, "Priority": 1, "RatePerS": 400, "Burst": 400, "AllowedRegions": []string{},
		}},
		"VirtualHosts": []any{map[string]any{"Host": virtual, "Paths": paths}},
	})
}

// startHosts starts hosts in the zones for the first time and waits until they are ready.
func (w *world) startHosts(zoneNames ...string) {
	var seeds []string
	for i, zone := range zoneNames {
		h := newHost(w.folder, fmt.Sprintf("edge-%s-%d", zone, i+1), zone)
		w.hosts = append(w.hosts, h)
		if len(seeds) < 3 {
			seeds = append(seeds, h.peers)
		}
	}
	for _, h := range w.hosts {
		h.configure(w.storeFor(h), seeds, true, w.grace)
		h.start()
	}
	awaitReady(w.hosts, 20*time.Second)
	for _, h := range w.hosts {
		h.configure(w.storeFor(h), seeds, false, w.grace)
	}
}

func (w *world) storeFor(h *Host) string {
	if address, isSet := w.storeOf[h.name]; isSet {
		return address
	}
	return w.address
}

// startServers starts servers of a service in each zone.
func (w *world) startServers(service string, perZone, slots int, workTime time.Duration) {
	for _, zone := range []string{"a1", "b1", "c1"} {
		for i := range perZone {
			s := startServer(w.record, fmt.Sprintf("i-%s-%s-%d", service, zone, i+1), service, zone, slots, workTime)
			w.servers = append(w.servers, s)
			go s.heartbeats(w.store)
		}
	}
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "where to write what happened")
	flag.Parse()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		end(2)
	}()
	w := newWorld(*path, os.Getenv("TROUBLE") != "0")
	run := map[string]func(*world) bool{
		"half-close": halfClose,
		"restart":    restart,
		"partition":  partition,
		"stop":       stop,
		"foreign":    foreign,
	}[*name]
	if run == nil {
		fail("no such case: " + *name)
	}
	if isBroken := run(w); isBroken {
		end(1)
	}
	end(0)
}
