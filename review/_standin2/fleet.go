package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"trefoilline.example/trefoilline/internal/standin/loopback"
	"trefoilline.example/trefoilline/platform/standin"
)

// machine is what the platform gives one entry host.
type machine struct {
	name, region, zone string
	memoryMegabytes    int
}

// fleet is a small deployment: the platform's store, and entry hosts as processes.
type fleet struct {
	record  *record
	folder  string
	program string
	store   *standin.Store
	server  *http.Server
	address netip.AddrPort
	hosts   []*host
}

// host is one entry host and the processes that the platform starts for it.
type host struct {
	machine
	fleet                           *fleet
	entry, ready, look, peer, meter netip.AddrPort
	path                            string

	mu          sync.Mutex
	process     *os.Process
	incarnation int
	stopping    bool
	ends        []end
	peakKB      int
	supervised  sync.WaitGroup
}

// end is an end of a host's process.
type end struct {
	at     time.Time
	reason string
}

func newFleet(r *record, root string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "trefoilline-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		record:  r,
		folder:  folder,
		program: filepath.Join(root, "target", "trefoillined"),
		store:   &standin.Store{},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.address = netip.MustParseAddrPort(listener.Addr().String())
	f.server = &http.Server{Handler: f.store}
	go f.server.Serve(listener)
	return f, nil
}

// addHost adds a host whose process is not running yet.
func (f *fleet) addHost(m machine) {
	h := &host{machine: m, fleet: f, path: filepath.Join(f.folder, m.name+".json")}
	for _, a := range []*netip.AddrPort{&h.entry, &h.ready, &h.look, &h.peer, &h.meter} {
		*a = loopback.MustFreeAddress()
	}
	f.hosts = append(f.hosts, h)
}

// writeSettings writes the file that the template of the deploy file gives.
func (h *host) writeSettings(firstStart bool) error {
	zones := map[string]string{}
	var seeds []netip.AddrPort
	for _, other := range h.fleet.hosts {
		zones[other.zone] = other.region
		seeds = append(seeds, other.peer)
	}
	content, err := json.MarshalIndent(map[string]any{
		"host": h.name, "region": h.region, "zone": h.zone, "zones": zones,
		"entry": h.entry, "ready": h.ready, "look-ups": h.look, "peers": h.peer, "metrics": h.meter,
		"seeds": seeds[:min(3, len(seeds))], "first-start": firstStart, "store": h.fleet.address,
		"look-up-seconds": 5, "grace-seconds": 6, "quota-overshoot": 0.1, "quota-slack": 20,
		"log-level": "info", "max-shift": 0.15,
		"machine": map[string]any{
			"cpu-share": 0.32, "core-speed": 1, "memory-megabytes": h.memoryMegabytes,
			"descriptors": 4100, "link-megabits": 1000,
		},
		"retry-ratio": 0.2, "retry-slack": 64,
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(h.path, content, 0o600)
}

// start starts all hosts and waits until they are ready.
func (f *fleet) start() error {
	for _, h := range f.hosts {
		if err := h.writeSettings(true); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		h.supervised.Add(1)
		go h.supervise()
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, h := range f.hosts {
		for !h.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not get ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ready.String() + "/trefoilline/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// restartDelay is the platform's short delay before it starts a process again.
const restartDelay = time.Second

// supervise is the platform: it starts the process of the host, again after each end, and kills it if it exceeds the memory of its
// machine.
func (h *host) supervise() {
	defer h.supervised.Done()
	for {
		h.mu.Lock()
		if h.stopping {
			h.mu.Unlock()
			return
		}
		h.incarnation++
		log, err := os.Create(filepath.Join(h.fleet.folder, fmt.Sprintf("%s-%d.log", h.name, h.incarnation)))
		if err != nil {
			h.mu.Unlock()
			h.fleet.record.line("platform: %v", err)
			return
		}
		command := exec.Command(h.fleet.program, "serve", "--settings="+h.path)
		command.Stdout, command.Stderr = log, log
		command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		err = command.Start()
		if err != nil {
			h.mu.Unlock()
			h.fleet.record.line("platform: start of %s: %v", h.name, err)
			return
		}
		h.process = command.Process
		number := h.incarnation
		h.mu.Unlock()
		h.fleet.record.line("platform: %s started, process %d of the host", h.name, number)
		over := make(chan int, 1)
		done := make(chan struct{})
		go h.watchMemory(command.Process, over, done)
		err = command.Wait()
		close(done)
		log.Close()
		h.mu.Lock()
		h.process = nil
		if h.stopping {
			h.mu.Unlock()
			return
		}
		reason := fmt.Sprintf("ended by itself: %v", err)
		select {
		case kb := <-over:
			reason = fmt.Sprintf("killed by the platform: %d kB of %d kB", kb, h.memoryMegabytes*1000_000/1024)
		default:
		}
		h.ends = append(h.ends, end{at: time.Now(), reason: reason})
		h.mu.Unlock()
		h.fleet.record.line("platform: %s %s", h.name, reason)
		if err := h.writeSettings(false); err != nil {
			return
		}
		time.Sleep(restartDelay)
	}
}

// watchMemory kills the process if its own memory is above that of the machine. Pages that it shares with files, such as its code,
// do not count here, though they would on a machine.
func (h *host) watchMemory(process *os.Process, over chan<- int, done <-chan struct{}) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		kb, err := anonymousKB(process.Pid)
		if err != nil {
			continue
		}
		h.mu.Lock()
		h.peakKB = max(h.peakKB, kb)
		h.mu.Unlock()
		if int64(kb)*1024 > int64(h.memoryMegabytes)*1_000_000 {
			over <- kb
			process.Signal(syscall.SIGKILL)
			return
		}
	}
}

// anonymousKB returns the anonymous resident memory of a process.
func anonymousKB(pid int) (int, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(content)) {
		if rest, isIt := strings.CutPrefix(line, "RssAnon:"); isIt {
			return strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
		}
	}
	return 0, errors.New("no RssAnon")
}

// signal sends a signal to the running process of the host.
func (h *host) signal(s os.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		h.process.Signal(s)
	}
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		h.mu.Lock()
		h.stopping = true
		if h.process != nil {
			h.process.Kill()
		}
		h.mu.Unlock()
	}
	for _, h := range f.hosts {
		h.supervised.Wait()
	}
	f.server.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.folder)
	}
}

func (h *host) endCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.ends)
}

func (h *host) peak() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peakKB
}
