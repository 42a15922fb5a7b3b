package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"trefoilline.example/trefoilline/internal/standin/loopback"
	"trefoilline.example/trefoilline/platform/standin"
)

// fleet is a small deployment: a store and backend servers in this process, and entry hosts as processes that are started
// with the command of the deploy file.
type fleet struct {
	folder       string
	store        *standin.Store
	storeAddress string
	hosts        []*entryHost
}

// entryHost is an entry host and its process.
type entryHost struct {
	name     string
	settings map[string]any
	path     string
	caller   string
	ready    string
	process  *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// bornAt is when all backend servers started.
var bornAt = time.Now().UnixMilli()

// daemon is the program that the deploy file builds.
const daemon = "target/trefoillined"

// newFleet starts a store. The caller must call close.
func newFleet() (*fleet, error) {
	folder, err := os.MkdirTemp("", "trefoilline-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		folder: folder,
		store:  &standin.Store{},
	}
	f.storeAddress, err = serve(f.store)
	return f, err
}

// serve serves HTTP on a free loopback port and returns the address.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// close ends all processes and removes the folder.
func (f *fleet) close() {
	var ends sync.WaitGroup
	for _, h := range f.hosts {
		ends.Go(h.kill)
	}
	ends.Wait()
	_ = os.RemoveAll(f.folder)
}

// kill kills the process of the host and waits for its end.
func (h *entryHost) kill() {
	if h.process == nil {
		return
	}
	_ = h.process.Process.Kill()
	<-h.ended
}

// machine is what the machine of a host has.
type machine struct {
	cpuShare        float64
	memoryMegabytes float64
	descriptors     int
	linkMegabits    float64
}

// addHost adds an entry host that is not running.
func (f *fleet) addHost(name, region, zone string, m machine) *entryHost {
	front, ready := loopback.MustFreeAddress(), loopback.MustFreeAddress()
	h := &entryHost{
		name:   name,
		path:   filepath.Join(f.folder, name+".json"),
		caller: front.String(),
		ready:  ready.String(),
	}
	h.settings = map[string]any{
		"host":            name,
		"region":          region,
		"zone":            zone,
		"zones":           map[string]string{zone: region},
		"entry":           front,
		"ready":           ready,
		"look-ups":        loopback.MustFreeAddress(),
		"peers":           loopback.MustFreeAddress(),
		"first-start":     true,
		"store":           f.storeAddress,
		"look-up-seconds": 5,
		"grace-seconds":   6,
		"quota-overshoot": 0.1,
		"quota-slack":     20,
		"log-level":       "info",
		"max-shift":       0.15,
		"machine": map[string]any{
			"cpu-share":        m.cpuShare,
			"core-speed":       1,
			"memory-megabytes": m.memoryMegabytes,
			"descriptors":      m.descriptors,
			"link-megabits":    m.linkMegabits,
		},
		"retry-ratio": 0.2,
		"retry-slack": 64,
	}
	f.hosts = append(f.hosts, h)
	return h
}

// stableTime is longer than StableWindowS, from which on after their start machines are in touch.
const stableTime = 5 * time.Second

// start starts the processes of all hosts, and waits until they are ready and in touch.
func (f *fleet) start() error {
	var seeds []any
	for _, h := range f.hosts {
		seeds = append(seeds, h.settings["peers"])
	}
	for _, h := range f.hosts {
		h.settings["seeds"] = seeds[:min(3, len(seeds))]
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		if err := h.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(stableTime)
	return nil
}

// start starts the process of the host.
func (h *entryHost) start() error {
	content, err := json.Marshal(h.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(h.path, content, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(h.path+".log", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	process := exec.Command(daemon, "serve", "--settings="+h.path)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.process, h.ended = process, ended
	go func() {
		// The exit status of a killed process is an error.
		_ = process.Wait()
		close(ended)
	}()
	return nil
}

// readyTimeout is how long a host may take until it is ready.
const readyTimeout = 20 * time.Second

// awaitReady waits until the readiness check of the host succeeds.
func (h *entryHost) awaitReady() error {
	client := http.Client{
		Timeout: time.Second,
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + h.ready + "/trefoilline/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", h.name, readyTimeout)
}

// residentBytes returns the memory of the host's process, and zero once it has ended.
func (h *entryHost) residentBytes() int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		var kilobytes int64
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); n == 1 {
			return kilobytes << 10
		}
	}
	return 0
}

// watchMemory does what the platform does until the channel is closed: it kills the process if it takes more memory than its machine
// has. It returns then.
func (h *entryHost) watchMemory(r *record, limit int64, until <-chan struct{}) (peak int64, isKilled bool) {
	loggedAt := time.Now()
	for {
		select {
		case <-until:
			return peak, false
		case <-time.After(memoryInterval):
		}
		resident := h.residentBytes()
		peak = max(peak, resident)
		if time.Since(loggedAt) > memoryLogInterval {
			loggedAt = time.Now()
			r.printf("%s takes %d MB", h.name, resident/1_000_000)
		}
		if resident > limit {
			r.printf("%s takes %d bytes; the platform kills it", h.name, resident)
			h.kill()
			return peak, true
		}
	}
}

const (
	memoryInterval    = 10 * time.Millisecond
	memoryLogInterval = 3 * time.Second
)

// register registers a backend server as ready.
func (f *fleet) register(id, service, zone, address string, slots int) {
	f.registerAs("ready", id, service, zone, address, slots)
}

// registerAs registers a backend server in a state.
func (f *fleet) registerAs(state, id, service, zone, address string, slots int) {
	f.store.Put("servers", id, map[string]any{
		"Address": address,
		"born":    bornAt,
		"Info": map[string]any{
			"Service": service,
			"Version": "v1",
			"Zone":    zone,
			"Slots":   slots,
		},
		"Status": map[string]any{
			"State":     state,
			"Sequence":  1,
			"ColdLeftS": 0,
		},
	})
}

// configure stores a configuration, which is part of this program.
func (f *fleet) configure(services []string, paths string) error {
	var listed []string
	for _, name := range services {
		listed = append(listed, fmt.Sprintf(`{"Name":%q,"HealthPath":"/health","MaxConnections":1590}`, name))
	}
	text := fmt.Sprintf(`{"Version":"r1","Services":[%s],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15},
"Tenants":[{"Name":"north","ApiKeys":[%q]},{"Name":"south","ApiKeys":[%q]}],
"VirtualHosts":[{"Host":"shop.example","Paths":[%s]}]}`, strings.Join(listed, ","), northKey, southKey, paths)
	var configuration any
	if err := json.Unmarshal([]byte(text), &configuration); err != nil {
		return err
	}
	f.store.Put("config", "main", configuration)
	return nil
}

// The keys of the tenants.
const (
	northKey = "north-key-2f9c41d07be2"
	southKey = "south-key-8a36b6f1c093"
)

// head returns the start of a request, up to the headers of its own.
func head(method, target, id, key string, deadline time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		method, target, id, deadline.Milliseconds(), key)
}
