package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Host is an entry host: the project's own program in a process of its own, with the command of the
// deploy file.
type Host struct {
	name     string
	region   string
	zone     string
	entry    string
	ready    string
	lookups  string
	peers    string
	folder   string
	settings string
	process  *exec.Cmd
	ended    chan struct{}
}

var zones = map[string]string{"a1": "a", "b1": "b", "c1": "c"}

// The ports of hosts lie below those that the system gives to connections, so that none is taken
// while a host is not running.
const (
	firstPort = 12000
	lastPort  = 30000
)

var usedPorts = make(map[int]bool)

// freeAddress returns a loopback address that nothing listens on, another one each time.
func freeAddress() string {
	for range 1000 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil || usedPorts[port] {
			continue
		}
		_ = listener.Close()
		usedPorts[port] = true
		return address
	}
	fail("no free port")
	return ""
}

func newHost(folder, name, zone string) *Host {
	return &Host{
		name:    name,
		zone:    zone,
		region:  zones[zone],
		entry:   freeAddress(),
		ready:   freeAddress(),
		lookups: freeAddress(),
		peers:   freeAddress(),
		folder:  folder,
	}
}

// configure writes the settings, as the template of the deploy file gives them.
func (h *Host) configure(store string, seeds []string, isFirst bool, grace time.Duration) {
	content, err := json.Marshal(map[string]any{
		"host":            h.name,
		"region":          h.region,
		"zone":            h.zone,
		"zones":           zones,
		"entry":           h.entry,
		"ready":           h.ready,
		"look-ups":        h.lookups,
		"peers":           h.peers,
		"seeds":           seeds,
		"first-start":     isFirst,
		"store":           store,
		"look-up-seconds": 5,
		"grace-seconds":   grace.Seconds(),
		"quota-overshoot": 0.1,
		"quota-slack":     20,
		"log-level":       "info",
		"retry-ratio":     0.2,
		"retry-slack":     58,
	})
	if err != nil {
		fail(err.Error())
	}
	h.settings = filepath.Join(h.folder, h.name+".json")
	if err := os.WriteFile(h.settings, content, 0o600); err != nil {
		fail(err.Error())
	}
}

// start starts the process.
func (h *Host) start() {
	log, err := os.OpenFile(filepath.Join(h.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail(err.Error())
	}
	h.process = exec.Command("target/trefoillined", "serve", "--settings="+h.settings)
	h.process.Stdout, h.process.Stderr = log, log
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.process.Start(); err != nil {
		fail(err.Error())
	}
	h.ended = make(chan struct{})
	process, ended := h.process, h.ended
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(ended)
	}()
}

func (h *Host) signal(signal syscall.Signal) { _ = h.process.Process.Signal(signal) }

// kill ends the process with SIGKILL.
func (h *Host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.ended
}

// isReady asks the host whether it is ready.
func (h *Host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ready + "/trefoilline/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func awaitReady(hosts []*Host, limit time.Duration) {
	end := time.Now().Add(limit)
	for _, h := range hosts {
		for !h.isReady() {
			if time.Now().After(end) {
				fail(fmt.Sprintf("host %s is not ready", h.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
