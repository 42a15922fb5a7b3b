package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// usualClients send at any time, and burstClients while many users come at once: 1.7 times as many.
	usualClients = 245
	burstClients = 416
	burstDelay   = 3 * time.Second
	// maxHeaderBytes is MaxHeaderBytes of the configuration.
	maxHeaderBytes = 16384
	headerTime     = 20 * time.Second
	stockTime      = 8 * time.Second
	// machineBytes is the memory above which the platform kills the process.
	machineBytes = 284_000_000
)

// playHeaderLines lets clients send requests whose headers are as long as the configuration allows, in short lines. With the disruption
// more of them come.
func playHeaderLines(r *record, hasTrouble bool) (bool, error) {
	f, err := newFleet()
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.configure([]string{"storefront"}, `{"Name":"stock-check","PathPrefix":"/stock/","Kind":"safe","TimeoutS":8,
"TargetLatencyS":5,"Service":"storefront","MaxAttempts":2}`); err != nil {
		return false, err
	}
	runs := &runCount{}
	for n := range 38 {
		id := fmt.Sprintf("i-storefront-%d", n)
		address, err := serve(&workServer{
			id:   id,
			runs: runs,
			work: time.Second,
		})
		if err != nil {
			return false, err
		}
		f.register(id, "storefront", "accra-b", address, 4)
	}
	h := f.addHost("edge-accra-b-1", "accra", "accra-b", machine{
		cpuShare:        0.32,
		memoryMegabytes: machineBytes / 1_000_000,
		descriptors:     4100,
		linkMegabits:    1000,
	})
	if err := f.start(); err != nil {
		return false, err
	}
	r.printf("the host takes %d MB at rest", h.residentBytes()/1_000_000)
	clients := usualClients
	if hasTrouble {
		clients = burstClients
	}
	lines := shortLines()
	r.printf("%d clients send headers of %d lines", clients, strings.Count(lines, "\r\n"))
	c := &stockClients{
		record: r,
		host:   h,
		lines:  lines,
		runs:   runs,
		end:    time.Now().Add(headerTime),
	}
	for n := range clients {
		if n == usualClients {
			time.Sleep(burstDelay)
			r.printf("many users come at once")
		}
		c.ends.Go(func() { c.send(fmt.Sprintf("client-%d", n)) })
	}
	finished := make(chan struct{})
	go func() {
		c.ends.Wait()
		close(finished)
	}()
	peak, isKilled := h.watchMemory(r, machineBytes, finished)
	c.ends.Wait()
	r.printf("peak memory %d MB of %d, killed: %v; answers %d, requests of kept connections that ran and whose connection ended without an answer: %d",
		peak/1_000_000, machineBytes/1_000_000, isKilled, c.answered.Load(), c.lost.Load())
	// LOST: more than three times. A process that is killed for its memory counts as running.
	return isKilled && c.lost.Load() > 3, nil
}

// stockClients are the clients, and what became of their requests.
type stockClients struct {
	record         *record
	host           *entryHost
	lines          string
	runs           *runCount
	end            time.Time
	ends           sync.WaitGroup
	answered, lost atomic.Int64
}

// send sends requests one after the other on a kept connection.
func (c *stockClients) send(name string) {
	connection, err := net.Dial("tcp", c.host.caller)
	if err != nil {
		return
	}
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for n := 0; time.Now().Before(c.end); n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		request := head(http.MethodGet, "/stock/"+id, id, northKey, stockTime)
		request += c.lines[:strings.LastIndex(c.lines[:maxHeaderBytes-len(request)-2], "\r\n")+2] + "\r\n"
		if _, err := io.WriteString(connection, request); err != nil {
			return
		}
		_ = connection.SetReadDeadline(time.Now().Add(stockTime))
		status, _, err := readAnswer(reader)
		if err != nil {
			if n > 0 && c.runs.has(id) {
				c.lost.Add(1)
				c.record.printf("%s: ran, and its connection ends without an answer: %v", id, err)
			}
			return
		}
		if c.answered.Add(1); n == 0 {
			c.record.printf("%s: status %d", id, status)
		}
		if status != http.StatusOK {
			// The client comes back when it was told to, at the latest after a third of its time.
			time.Sleep(500 * time.Millisecond)
		}
	}
}

// shortLines returns header lines with names of two characters and no value, as many as a header holds.
func shortLines() string {
	const characters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	var lines strings.Builder
	for n := 0; lines.Len() < maxHeaderBytes; n++ {
		name := string(characters[n%len(characters)]) + string(characters[n/len(characters)%len(characters)])
		if n >= len(characters)*len(characters) {
			name += "x"
		}
		lines.WriteString(name + ":\r\n")
	}
	return lines.String()
}

// runCount holds the requests that began to run. It is safe for concurrent use.
type runCount struct {
	ids sync.Map
}

func (c *runCount) has(id string) bool {
	_, isRun := c.ids.Load(id)
	return isRun
}

// workServer works on each request for a time.
type workServer struct {
	id   string
	runs *runCount
	work time.Duration
}

func (s *workServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if r.Header.Get("X-Target-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.runs.ids.Store(id, true)
	time.Sleep(s.work)
	w.Header().Set("X-Response-Seal", "seal-of-"+s.id)
	w.Header().Set("X-Server-Load", "1,0,4")
	// An error means that the caller is gone.
	_, _ = io.WriteString(w, "in stock")
}
