package admission_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/internal/standin/backend"
	"trefoilline.example/trefoilline/internal/standin/network"
	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/ticket"
)

// seeds is the number of simulated runs.
var seeds = flag.Uint64("seeds", 5, "number of simulated runs, with random seeds from zero")

// The size of a simulated run.
const (
	hosts    = 3
	servers  = 4
	callers  = 8
	payments = 40
	maxSends = 4
)

// cluster is a set of entry hosts and backend servers with a store. The random seed
// decides which faults are injected when.
type cluster struct {
	t              *testing.T
	baseline       bool
	network        *network.Network
	store          *store.Memory
	backends       []*backend.Server
	backendServers []*http.Server
	mu             sync.Mutex
	random         *rand.Rand
	entryHosts     []*entryHost
	notRunReasons  map[string]header.Reason
	counts
	violations atomic.Int64
}

// counts holds the outcomes that the callers of a run saw, and the errors among
// them: reruns counts the runs after the first of a payment, falseNotRun the
// payments that ran and were reported as not run, and wrongResponses the
// responses of other payments.
type counts struct {
	sends, answered, notRun, unknown    int
	reruns, falseNotRun, wrongResponses int
}

// serve starts an HTTP server. Closing it breaks all its connections.
func (c *cluster) serve(address netip.AddrPort, handler http.Handler) *http.Server {
	listener, err := c.network.Listen(address)
	require.NoError(c.t, err)
	server := &http.Server{
		Handler: handler,
	}
	go func() { _ = server.Serve(listener) }()
	return server
}

func backendAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 80)
}

func (c *cluster) randomInt(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

func (c *cluster) entryHost(i int) *entryHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entryHosts[i]
}

// requestID returns the ID with which the request reaches a backend server.
func requestID(t *testing.T, h http.Header) string {
	if key := h.Get(header.IdempotencyKey); key != "" {
		return ticket.RequestIDForKey("", key)
	}
	parsed, err := ticket.Parse(h.Get(header.Ticket))
	require.NoError(t, err)
	return parsed.ID()
}

// injectFaults changes the faults of the store, the backend servers and the entry hosts at
// random times until done is closed.
func (c *cluster) injectFaults(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(c.randomInt(400)) * time.Millisecond):
		}
		c.store.SetFaults(c.randomStoreFaults())
		if c.randomInt(3) > 0 {
			c.backends[c.randomInt(servers)].SetFaults(c.randomServerFaults())
			continue
		}
		e := c.entryHost(c.randomInt(hosts))
		if c.randomInt(2) == 0 {
			thaw := e.freeze()
			time.Sleep(time.Duration(c.randomInt(5000)) * time.Millisecond)
			thaw()
			continue
		}
		e.kill()
		time.Sleep(time.Duration(c.randomInt(500)) * time.Millisecond)
		c.startEntryHost(e.index)
	}
}

func (c *cluster) randomStoreFaults() store.Faults {
	return store.Faults{
		Down:             c.randomInt(4) == 0,
		Delay:            time.Duration(c.randomInt(3)*c.randomInt(300)) * time.Millisecond,
		DropWriteReplies: c.randomInt(3) * c.randomInt(3),
		StaleReads:       c.randomInt(6) == 0,
	}
}

func (c *cluster) randomServerFaults() backend.Faults {
	drops := []backend.DropPoint{
		backend.DropBeforeBody,
		backend.DropDuringBody,
		backend.DropBeforeResponse,
		backend.DropDuringResponse,
	}
	f := backend.Faults{}
	switch c.randomInt(9) {
	case 0:
		f.Draining = true
	case 1:
		f.RejectAll = true
	case 2:
		f.HangOpenConnections = true
	case 3:
		f.SendPreviousResponse = true
	case 4:
		f.ResponseDelay = backend.Duration(time.Duration(c.randomInt(4000)) * time.Millisecond)
	case 5, 6:
		f.DropAt = drops[c.randomInt(len(drops))]
	case 7:
		f.Crashed = true
	}
	return f
}

// runCount returns how often a payment ran on all backend servers together.
func (c *cluster) runCount(id string) int {
	total := 0
	for _, b := range c.backends {
		total += b.RequestLog().RunCounts[id]
	}
	return total
}

// newClient returns an HTTP client for a caller.
func (c *cluster) newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: c.network.Dial,
		},
		Timeout: 3 * time.Second,
	}
}

// runCaller makes payments one after the other, half of them with tickets and half with
// idempotency keys of its own. It sends each up to maxSends times, with the same ticket
// or key and to random entry hosts, until it is answered.
func (c *cluster) runCaller(index int) {
	client := c.newClient()
	defer client.CloseIdleConnections()
	for number := range payments {
		h := http.Header{}
		if number%2 == 0 {
			// In place of a look-up, in which an entry host issues tickets.
			h.Set(header.Ticket, c.entryHost(c.randomInt(hosts)).deduplicator.Registry.Issue("", 1).Ticket(0))
		} else {
			h.Set(header.IdempotencyKey, fmt.Sprintf("order-%d-%d", index, number))
		}
		for range maxSends {
			if c.pay(client, h) {
				break
			}
			time.Sleep(time.Duration(c.randomInt(300)) * time.Millisecond)
		}
	}
}

// pay sends the payment once and reports whether it was answered.
func (c *cluster) pay(client *http.Client, h http.Header) bool {
	id := requestID(c.t, h)
	url := fmt.Sprintf("http://%s/payments", c.entryHost(c.randomInt(hosts)).address)
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte("pay "+id)))
	require.NoError(c.t, err)
	request.Header = h.Clone()
	response, err := client.Do(request)
	var body []byte
	if err == nil {
		defer response.Body.Close()
		body, err = io.ReadAll(response.Body)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sends++
	delete(c.notRunReasons, id)
	switch {
	case err != nil:
		c.unknown++
		return false
	case response.Header.Get(header.NotRun) != "":
		c.notRun++
		c.notRunReasons[id] = header.Reason(response.Header.Get(header.NotRun))
		if c.runCount(id) > 0 {
			c.falseNotRun++
		}
		return false
	case response.StatusCode != http.StatusOK:
		require.True(c.t, c.baseline || response.Header.Get(header.OutcomeUnknown) != "")
		c.unknown++
		return false
	}
	c.answered++
	var reply struct {
		Request string `json:"request"`
	}
	if json.Unmarshal(body, &reply) != nil || reply.Request != id {
		c.wrongResponses++
	}
	return true
}

// newCluster starts a cluster without faults.
func newCluster(t *testing.T, seed uint64, baseline bool) *cluster {
	c := &cluster{
		t:             t,
		baseline:      baseline,
		network:       &network.Network{},
		store:         &store.Memory{},
		random:        rand.New(rand.NewPCG(seed, 0)),
		entryHosts:    make([]*entryHost, hosts),
		notRunReasons: make(map[string]header.Reason),
	}
	for i := range servers {
		c.backends = append(c.backends, &backend.Server{
			ServiceTime: 20 * time.Millisecond,
		})
		c.backendServers = append(c.backendServers, c.serve(backendAddress(i), c.backends[i]))
	}
	for i := range hosts {
		c.startEntryHost(i)
	}
	return c
}

// stop ends all processes.
func (c *cluster) stop() {
	for _, e := range c.entryHosts {
		e.kill()
	}
	for _, server := range c.backendServers {
		_ = server.Close()
	}
}

// simulateFaults lets the callers pay while faults are injected, and returns the counts.
func simulateFaults(t *testing.T, seed uint64, baseline bool) counts {
	var result counts
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, seed, baseline)
		defer c.stop()
		done := make(chan struct{})
		var faultInjection, callersRunning sync.WaitGroup
		faultInjection.Go(func() { c.injectFaults(done) })
		for index := range callers {
			callersRunning.Go(func() { c.runCaller(index) })
		}
		callersRunning.Wait()
		close(done)
		faultInjection.Wait()
		c.store.SetFaults(store.Faults{})
		time.Sleep(time.Minute) // fake clock: lets running requests end
		c.reruns = c.countReruns()
		for id := range c.notRunReasons {
			if c.runCount(id) > 0 {
				c.falseNotRun++
			}
		}
		require.True(t, baseline || c.violations.Load() == 0)
		result = c.counts
	})
	return result
}

// countReruns returns how many runs on all backend servers were not the first of their
// payment.
func (c *cluster) countReruns() int {
	total := make(map[string]int)
	for _, b := range c.backends {
		for id, count := range b.RequestLog().RunCounts {
			total[id] += count
		}
	}
	reruns := 0
	for _, count := range total {
		reruns += count - 1
	}
	return reruns
}

// add returns the sum of two counts.
func (c counts) add(other counts) counts {
	c.sends += other.sends
	c.answered += other.answered
	c.notRun += other.notRun
	c.unknown += other.unknown
	c.reruns += other.reruns
	c.falseNotRun += other.falseNotRun
	c.wrongResponses += other.wrongResponses
	return c
}

// TestPaymentsRunAtMostOnceUnderFaults checks that no payment runs twice, none
// that ran is reported as not run, and no caller gets the response of another
// payment, while the store, servers and entry hosts fail and callers repeat
// their payments. The baseline without admission must show each of these errors.
func TestPaymentsRunAtMostOnceUnderFaults(t *testing.T) {
	var baseline, admitted counts
	for seed := range *seeds {
		baseline = baseline.add(simulateFaults(t, seed, true))
		admitted = admitted.add(simulateFaults(t, seed, false))
	}
	t.Logf("without admission: %+v", baseline)
	t.Logf("with admission: %+v", admitted)
	require.Positive(t, baseline.reruns)
	require.Positive(t, baseline.falseNotRun)
	require.Positive(t, baseline.wrongResponses)
	require.Zero(t, admitted.reruns)
	require.Zero(t, admitted.falseNotRun)
	require.Zero(t, admitted.wrongResponses)
	require.Positive(t, admitted.answered)
	require.Positive(t, admitted.notRun)
}
