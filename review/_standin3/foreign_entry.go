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
	// foreignBytes is the length of the text in the entry, which is below the store's ValueBytes of 1,048,576.
	foreignBytes = 1_000_000
	// foreignDepth is how deep the arrays in the entry are nested.
	foreignDepth = 10_001
	// releaseGap is the time between two servers of a service that are replaced, and drainTime how long the old one drains.
	releaseGap = time.Second
	drainTime  = 4 * time.Second
	releases   = 2
	// playTime is how long the releases go on at most.
	playTime = 95 * time.Second
	// lookClients send requests that servers work on for lookWork, each after a pause.
	lookClients = 40
	lookWork    = 300 * time.Millisecond
	lookPause   = 700 * time.Millisecond
	lookTime    = 5 * time.Second
)

// releasedService is a service whose servers are replaced. Its replacements begin after its offset in each releaseGap.
type releasedService struct {
	name    string
	servers int
	offset  time.Duration
}

// playForeignEntry replaces the servers of all services one after the other, as in a release, twice. With the disruption an entry of
// another writer, which can't be read, stands among the servers and changes too.
func playForeignEntry(r *record, hasTrouble bool) (bool, error) {
	f, err := newFleet()
	if err != nil {
		return false, err
	}
	defer f.close()
	services := []releasedService{
		{
			name:    "timetable",
			servers: 122,
		},
		{
			name:    "bookings",
			servers: 62,
			offset:  releaseGap / 3,
		},
		{
			name:    "fieldvault",
			servers: 22,
			offset:  2 * releaseGap / 3,
		},
	}
	runs := &runCount{}
	l := &releaser{
		fleet:  f,
		record: r,
		runs:   runs,
		done:   make(chan struct{}),
	}
	var names, paths []string
	for _, s := range services {
		names = append(names, s.name)
		paths = append(paths, fmt.Sprintf(`{"Name":%q,"PathPrefix":"/%s/","Kind":"safe","TimeoutS":5,"TargetLatencyS":0.8,"Service":%q,"MaxAttempts":2}`, s.name, s.name, s.name))
		for n := range s.servers {
			if err := l.add(s.name, fmt.Sprintf("i-%s-%d-0", s.name, n)); err != nil {
				return false, err
			}
		}
	}
	if err := f.configure(names, strings.Join(paths, ",")); err != nil {
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
	if hasTrouble {
		f.store.PutRaw("servers", "foreign", `{"text":"`+strings.Repeat("x", foreignBytes)+`","data":`+strings.Repeat("[", foreignDepth)+strings.Repeat("]", foreignDepth)+`}`)
		l.isForeign = true
	}
	c := &lookers{
		record: r,
		host:   h,
		names:  names,
		runs:   runs,
		done:   l.done,
	}
	for n := range lookClients {
		c.ends.Go(func() { c.look(n) })
	}
	for _, s := range services {
		go l.release(s)
	}
	time.AfterFunc(playTime, func() { close(l.done) })
	peak, isKilled := h.watchMemory(r, smallMachineBytes, l.done)
	c.ends.Wait()
	r.printf("%d servers were replaced; peak memory %d MB of %d, killed: %v; answers 200: %d, others: %d; requests of kept connections that ran and whose connection ended without an answer: %d",
		l.replaced.Load(), peak/1_000_000, smallMachineBytes/1_000_000, isKilled, c.served.Load(), c.others.Load(), c.lost.Load())
	// LOST: more than three times. A process that is killed for its memory counts as running.
	return isKilled && c.lost.Load() > 3, nil
}

// releaser replaces servers.
type releaser struct {
	fleet     *fleet
	record    *record
	runs      *runCount
	isForeign bool
	addresses sync.Map
	replaced  atomic.Int64
	done      chan struct{}
}

// add starts a server and registers it.
func (l *releaser) add(service, id string) error {
	address, err := serve(&workServer{
		id:   id,
		runs: l.runs,
		work: lookWork,
	})
	if err != nil {
		return err
	}
	l.addresses.Store(id, address)
	l.fleet.register(id, service, "tbilisi-a", address, 9)
	return nil
}

// release replaces 45 in 100 servers of a service, and then 45 in 100 others: the new one starts first, the old one drains.
func (l *releaser) release(s releasedService) {
	time.Sleep(s.offset)
	count := s.servers * 45 / 100
	for n := range releases * count {
		if l.isForeign {
			// The other writer writes its entry again. It is the one that PutRaw stored.
			l.fleet.store.Put("servers", "foreign", "raw-0")
		}
		old := fmt.Sprintf("i-%s-%d-0", s.name, n)
		if err := l.add(s.name, fmt.Sprintf("i-%s-%d-1", s.name, n)); err != nil {
			l.record.printf("%v", err)
			return
		}
		address, _ := l.addresses.Load(old)
		l.fleet.registerAs("draining", old, s.name, "tbilisi-a", address.(string), 9)
		time.AfterFunc(drainTime, func() { l.fleet.store.Remove("servers", old) })
		if l.replaced.Add(1)%30 == 0 {
			l.record.printf("%d servers are replaced", l.replaced.Load())
		}
		time.Sleep(releaseGap)
	}
}

// lookers are the clients, and what became of their requests.
type lookers struct {
	record               *record
	host                 *entryHost
	names                []string
	runs                 *runCount
	ends                 sync.WaitGroup
	done                 <-chan struct{}
	served, others, lost atomic.Int64
}

// look sends requests on a kept connection until the releases are over.
func (c *lookers) look(n int) {
	connection, err := net.Dial("tcp", c.host.caller)
	if err != nil {
		return
	}
	defer connection.Close()
	reader := bufio.NewReader(connection)
	// The clients don't send at the same time.
	time.Sleep(time.Duration(n) * lookPause / lookClients)
	for k := 0; ; k++ {
		select {
		case <-c.done:
			return
		case <-time.After(lookPause):
		}
		id := fmt.Sprintf("look-%d-%d", n, k)
		target := fmt.Sprintf("/%s/%d", c.names[k%len(c.names)], n)
		if _, err := io.WriteString(connection, head(http.MethodGet, target, id, northKey, lookTime)+"\r\n"); err != nil {
			return
		}
		_ = connection.SetReadDeadline(time.Now().Add(2 * lookTime))
		status, _, err := readAnswer(reader)
		switch {
		case err != nil:
			if k > 0 && c.runs.has(id) {
				c.lost.Add(1)
				c.record.printf("%s: ran, and its connection ends without an answer: %v", id, err)
			}
			return
		case status == http.StatusOK:
			c.served.Add(1)
		default:
			c.others.Add(1)
		}
	}
}
