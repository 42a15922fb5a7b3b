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

// seeds is how many runs there are.
var seeds = flag.Uint64("seeds", 5, "runs of the fleet, with seeds from zero")

// The size of a run.
const (
	hosts    = 3
	servers  = 4
	callers  = 8
	payments = 40
	maxSends = 4
)

// world is a fleet under faults. The seed decides what goes wrong when.
type world struct {
	t        *testing.T
	naive    bool
	network  *network.Network
	store    *store.Memory
	backends []*backend.Server
	closing  []*http.Server
	mu       sync.Mutex
	random   *rand.Rand
	entries  []*entry
	last     map[string]header.Reason
	figures
	violations atomic.Int64
}

// figures counts what a run saw.
type figures struct {
	sends, answered, notRun, unknown  int
	reruns, falseNotRun, wrongAnswers int
}

// serve starts a server; closing it cuts all its connections.
func (w *world) serve(address netip.AddrPort, handler http.Handler) *http.Server {
	listener, err := w.network.Listen(address)
	require.NoError(w.t, err)
	server := &http.Server{
		Handler: handler,
	}
	go func() { _ = server.Serve(listener) }()
	return server
}

func backendAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 80)
}

func (w *world) intn(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

func (w *world) entry(i int) *entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[i]
}

// nameOf is the name under which a request reaches a backend server.
func nameOf(t *testing.T, h http.Header) string {
	if key := h.Get(header.IdempotencyKey); key != "" {
		return ticket.RequestIDForKey("", key)
	}
	name, err := ticket.Parse(h.Get(header.Ticket))
	require.NoError(t, err)
	return name.ID()
}

// disturb sets new faults again and again until the run is over.
func (w *world) disturb(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(w.intn(400)) * time.Millisecond):
		}
		w.store.SetFaults(w.storeFaults())
		if w.intn(3) > 0 {
			w.backends[w.intn(servers)].SetFaults(w.faults())
			continue
		}
		e := w.entry(w.intn(hosts))
		if w.intn(2) == 0 {
			thaw := e.freeze()
			time.Sleep(time.Duration(w.intn(5000)) * time.Millisecond)
			thaw()
			continue
		}
		e.kill()
		time.Sleep(time.Duration(w.intn(500)) * time.Millisecond)
		w.start(e.index)
	}
}

func (w *world) storeFaults() store.Faults {
	return store.Faults{
		Down:             w.intn(4) == 0,
		Delay:            time.Duration(w.intn(3)*w.intn(300)) * time.Millisecond,
		DropWriteReplies: w.intn(3) * w.intn(3),
		StaleReads:       w.intn(6) == 0,
	}
}

func (w *world) faults() backend.Faults {
	drops := []backend.DropPoint{
		backend.DropBeforeBody,
		backend.DropDuringBody,
		backend.DropBeforeResponse,
		backend.DropDuringResponse,
	}
	f := backend.Faults{}
	switch w.intn(9) {
	case 0:
		f.Draining = true
	case 1:
		f.RejectAll = true
	case 2:
		f.HangOpenConnections = true
	case 3:
		f.SendPreviousResponse = true
	case 4:
		f.ResponseDelay = backend.Duration(time.Duration(w.intn(4000)) * time.Millisecond)
	case 5, 6:
		f.DropAt = drops[w.intn(len(drops))]
	case 7:
		f.Crashed = true
	}
	return f
}

// runs counts over all backend servers how often a payment took effect.
func (w *world) runs(name string) int {
	total := 0
	for _, b := range w.backends {
		total += b.RequestLog().RunCounts[name]
	}
	return total
}

// newClient returns a caller's client.
func (w *world) newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: w.network.Dial,
		},
		Timeout: 3 * time.Second,
	}
}

// caller makes payments one after the other, half of them under tickets and half
// under keys of its own. It sends each again, under the same name and to any
// host, until it knows what came of it.
func (w *world) caller(index int) {
	client := w.newClient()
	defer client.CloseIdleConnections()
	for number := range payments {
		h := http.Header{}
		if number%2 == 0 {
			// A look-up: the host answers with names of its own.
			h.Set(header.Ticket, w.entry(w.intn(hosts)).desk.Registry.Issue("", 1).Ticket(0))
		} else {
			h.Set(header.IdempotencyKey, fmt.Sprintf("order-%d-%d", index, number))
		}
		for range maxSends {
			if w.pay(client, h) {
				break
			}
			time.Sleep(time.Duration(w.intn(300)) * time.Millisecond)
		}
	}
}

// pay sends the payment once, and reports whether it was answered.
func (w *world) pay(client *http.Client, h http.Header) bool {
	name := nameOf(w.t, h)
	url := fmt.Sprintf("http://%s/payments", w.entry(w.intn(hosts)).address)
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte("pay "+name)))
	require.NoError(w.t, err)
	request.Header = h.Clone()
	response, err := client.Do(request)
	var body []byte
	if err == nil {
		defer response.Body.Close()
		body, err = io.ReadAll(response.Body)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sends++
	delete(w.last, name)
	switch {
	case err != nil:
		w.unknown++
		return false
	case response.Header.Get(header.NotRun) != "":
		w.notRun++
		w.last[name] = header.Reason(response.Header.Get(header.NotRun))
		if w.runs(name) > 0 {
			w.falseNotRun++
		}
		return false
	case response.StatusCode != http.StatusOK:
		require.True(w.t, w.naive || response.Header.Get(header.OutcomeUnknown) != "")
		w.unknown++
		return false
	}
	w.answered++
	var reply struct {
		Request string `json:"request"`
	}
	if json.Unmarshal(body, &reply) != nil || reply.Request != name {
		w.wrongAnswers++
	}
	return true
}

// newWorld starts a fleet without faults.
func newWorld(t *testing.T, seed uint64, naive bool) *world {
	w := &world{
		t:       t,
		naive:   naive,
		network: &network.Network{},
		store:   &store.Memory{},
		random:  rand.New(rand.NewPCG(seed, 0)),
		entries: make([]*entry, hosts),
		last:    make(map[string]header.Reason),
	}
	for i := range servers {
		w.backends = append(w.backends, &backend.Server{
			ServiceTime: 20 * time.Millisecond,
		})
		w.closing = append(w.closing, w.serve(backendAddress(i), w.backends[i]))
	}
	for i := range hosts {
		w.start(i)
	}
	return w
}

// stop ends all processes.
func (w *world) stop() {
	for _, e := range w.entries {
		e.kill()
	}
	for _, server := range w.closing {
		_ = server.Close()
	}
}

// run lets the callers pay under faults and returns what came of it.
func run(t *testing.T, seed uint64, naive bool) figures {
	var f figures
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, seed, naive)
		defer w.stop()
		done := make(chan struct{})
		var disturbing, paying sync.WaitGroup
		disturbing.Go(func() { w.disturb(done) })
		for index := range callers {
			paying.Go(func() { w.caller(index) })
		}
		paying.Wait()
		close(done)
		disturbing.Wait()
		w.store.SetFaults(store.Faults{})
		time.Sleep(time.Minute) // virtual: what still runs comes to its end
		w.reruns = w.countReruns()
		for name := range w.last {
			if w.runs(name) > 0 {
				w.falseNotRun++
			}
		}
		require.True(t, naive || w.violations.Load() == 0)
		f = w.figures
	})
	return f
}

// countReruns counts the runs beyond the first over all backend servers.
func (w *world) countReruns() int {
	total := make(map[string]int)
	for _, b := range w.backends {
		for name, count := range b.RequestLog().RunCounts {
			total[name] += count
		}
	}
	reruns := 0
	for _, count := range total {
		reruns += count - 1
	}
	return reruns
}

// add sums the figures of two runs.
func (f figures) add(g figures) figures {
	f.sends += g.sends
	f.answered += g.answered
	f.notRun += g.notRun
	f.unknown += g.unknown
	f.reruns += g.reruns
	f.falseNotRun += g.falseNotRun
	f.wrongAnswers += g.wrongAnswers
	return f
}

func TestPaymentsRunAtMostOnceUnderFaults(t *testing.T) {
	var naive, whole figures
	for seed := range *seeds {
		naive = naive.add(run(t, seed, true))
		whole = whole.add(run(t, seed, false))
	}
	t.Logf("plain: %+v", naive)
	t.Logf("admission: %+v", whole)
	require.Positive(t, naive.reruns)
	require.Positive(t, naive.falseNotRun)
	require.Positive(t, naive.wrongAnswers)
	require.Zero(t, whole.reruns)
	require.Zero(t, whole.falseNotRun)
	require.Zero(t, whole.wrongAnswers)
	require.Positive(t, whole.answered)
	require.Positive(t, whole.notRun)
}
