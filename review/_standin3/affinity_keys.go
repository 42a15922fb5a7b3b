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
	// objectClients ask for objects one after the other, each time for another one.
	objectClients = 60
	// objectsPerService is how many objects they ask for of each service.
	objectsPerService = 6000
	objectTime        = 5 * time.Second
	// objectPause is the pause of a client between two requests: all send some 330 a second.
	objectPause = 120 * time.Millisecond
	objectWork  = 60 * time.Millisecond
	// smallMachineBytes is the memory above which the platform kills the process.
	smallMachineBytes = 184_000_000
)

// playAffinityKeys lets clients ask for many objects, with a cookie for each. With the disruption their requests carry a second, long
// cookie.
func playAffinityKeys(r *record, hasTrouble bool) (bool, error) {
	f, err := newFleet()
	if err != nil {
		return false, err
	}
	defer f.close()
	services := []string{"timetable", "bookings", "fieldvault"}
	var paths []string
	runs := &runCount{}
	for n, service := range services {
		paths = append(paths, fmt.Sprintf(`{"Name":"route-%d","PathPrefix":"/%s/","Kind":"safe","TimeoutS":5,"TargetLatencyS":0.8,"Service":%q,"MaxAttempts":2,"Affinity":true}`,
			n, service, service))
		for k := range 8 {
			id := fmt.Sprintf("i-%s-%d", service, k)
			address, err := serve(&workServer{
				id:   id,
				runs: runs,
				work: objectWork,
			})
			if err != nil {
				return false, err
			}
			f.register(id, service, "tbilisi-a", address, 9)
		}
	}
	if err := f.configure(services, strings.Join(paths, ",")); err != nil {
		return false, err
	}
	h := f.addHost("edge-tbilisi-a-3", "tbilisi", "tbilisi-a", machine{
		cpuShare:        0.16,
		memoryMegabytes: smallMachineBytes / 1_000_000,
		descriptors:     4100,
		linkMegabits:    10,
	})
	if err := f.start(); err != nil {
		return false, err
	}
	r.printf("the host takes %d MB at rest", h.residentBytes()/1_000_000)
	c := &objectReaders{
		record:     r,
		host:       h,
		services:   services,
		runs:       runs,
		isLong:     hasTrouble,
		finishedAt: make(chan struct{}),
	}
	for n := range objectClients {
		c.ends.Go(func() { c.read(n) })
	}
	go func() {
		c.ends.Wait()
		close(c.finishedAt)
	}()
	peak, isKilled := h.watchMemory(r, smallMachineBytes, c.finishedAt)
	c.ends.Wait()
	r.printf("peak memory %d MB of %d, killed: %v; answers 200: %d, others: %d; requests of kept connections that ran and whose connection ended without an answer: %d",
		peak/1_000_000, smallMachineBytes/1_000_000, isKilled, c.served.Load(), c.others.Load(), c.lost.Load())
	// LOST: more than three times. A process that is killed for its memory counts as running.
	return isKilled && c.lost.Load() > 3, nil
}

// objectReaders are the clients, and what became of their requests.
type objectReaders struct {
	record               *record
	host                 *entryHost
	services             []string
	runs                 *runCount
	isLong               bool
	ends                 sync.WaitGroup
	finishedAt           chan struct{}
	served, others, lost atomic.Int64
}

// read asks for objects on a kept connection.
func (c *objectReaders) read(n int) {
	connection, err := net.Dial("tcp", c.host.caller)
	if err != nil {
		return
	}
	defer connection.Close()
	reader := bufio.NewReader(connection)
	// The clients don't send at the same time.
	time.Sleep(time.Duration(n) * objectPause / objectClients)
	for k := n; k < objectsPerService*len(c.services); k += objectClients {
		service := c.services[k%len(c.services)]
		id := fmt.Sprintf("object-%d", k)
		request := head(http.MethodGet, fmt.Sprintf("/%s/%d", service, k), id, northKey, objectTime) + fmt.Sprintf("Cookie: X-Affinity-Key=%d", k)
		if c.isLong {
			// The header is as long as MaxHeaderBytes allows.
			const end = "; session="
			request += end + strings.Repeat("s", maxHeaderBytes-len(request)-len(end)-len("\r\n\r\n"))
		}
		if _, err := io.WriteString(connection, request+"\r\n\r\n"); err != nil {
			return
		}
		_ = connection.SetReadDeadline(time.Now().Add(2 * objectTime))
		status, _, err := readAnswer(reader)
		switch {
		case err != nil:
			if k > n && c.runs.has(id) {
				c.lost.Add(1)
				c.record.printf("%s: ran, and its connection ends without an answer: %v", id, err)
			}
			return
		case status == http.StatusOK:
			c.served.Add(1)
		default:
			c.others.Add(1)
		}
		time.Sleep(objectPause)
	}
}
