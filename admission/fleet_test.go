package admission_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/admission"
	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/internal/standin/backend"
	"trefoilline.example/trefoilline/retry"
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
	network  *network
	backends []*backend.Server
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

// entry is one process on an entry host.
type entry struct {
	world   *world
	index   int
	address netip.AddrPort
	server  *http.Server
	client  *exchange.Client
	plain   *http.Client
	sender  *retry.Sender
	desk    *admission.Desk
	frozen  atomic.Pointer[chan struct{}]
}

func backendAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 80)
}

func (w *world) intn(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// start runs a new process on the host.
func (w *world) start(i int) {
	e := &entry{
		world:   w,
		index:   i,
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		client: &exchange.Client{
			Dial:          w.network.dial,
			AnswerTimeout: 2 * time.Second,
			Violated:      func(exchange.Violation) { w.violations.Add(1) },
		},
		plain: &http.Client{
			Transport: &http.Transport{
				DialContext: w.network.dial,
			},
			Timeout: 2 * time.Second,
		},
	}
	e.desk = &admission.Desk{
		Register: &ticket.Register{
			Host:     e.address,
			Violated: func(ticket.Violation) { w.violations.Add(1) },
		},
		Send: e.client.Send,
	}
	e.sender = &retry.Sender{
		Send: e.send,
	}
	e.server = w.network.serve(w.t, e.address, e)
	w.mu.Lock()
	w.entries[i] = e
	w.mu.Unlock()
}

func (w *world) entry(i int) *entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[i]
}

// kill ends the process; its memory is gone.
func (e *entry) kill() {
	_ = e.server.Close()
	e.client.Close()
	e.plain.CloseIdleConnections()
}

// pause blocks while the process is frozen.
func (e *entry) pause() {
	if thawed := e.frozen.Load(); thawed != nil {
		<-*thawed
	}
}

func (e *entry) freeze() (thaw func()) {
	thawed := make(chan struct{})
	e.frozen.Store(&thawed)
	return func() {
		e.frozen.Store(nil)
		close(thawed)
	}
}

// send is the client's, on a process that may freeze on both sides of it.
func (e *entry) send(ctx context.Context, server netip.AddrPort, request *exchange.Request) exchange.Outcome {
	e.pause()
	defer e.pause()
	return e.client.Send(ctx, server, request)
}

func (e *entry) pick(tried []netip.AddrPort) (netip.AddrPort, bool) {
	first := e.world.intn(servers)
	for i := range servers {
		server := backendAddress((first + i) % servers)
		if !slices.Contains(tried, server) {
			return server, true
		}
	}
	return netip.AddrPort{}, false
}

// ServeHTTP is the request path of an entry host in little.
func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.pause()
	request := exchange.FromHTTP(r, "")
	if s, isStream := request.Body.(*exchange.Stream); isStream {
		body, err := exchange.Buffer(s, 1<<16)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		request.Body = body
	}
	if e.world.naive {
		e.serveNaive(w, request)
		return
	}
	outcome := e.desk.Serve(r.Context(), request, "", func(ctx context.Context) exchange.Outcome {
		e.pause()
		return e.sender.Do(ctx, request, e.pick)
	})
	w.Header().Set(header.Request, request.Name)
	switch o := outcome.(type) {
	case *exchange.Answered:
		defer o.Close()
		_ = exchange.Copy(w, o)
	case exchange.NotRun:
		w.Header().Set(header.NotRun, string(o.Reason()))
		w.WriteHeader(http.StatusServiceUnavailable)
	case *exchange.Unknown:
		w.Header().Set(header.Outcome, string(o.Reason))
		w.WriteHeader(http.StatusBadGateway)
	}
}

// serveNaive forwards with an http.Client, tries another backend server after
// an error, and says "not run" if that fails too.
func (e *entry) serveNaive(w http.ResponseWriter, request *exchange.Request) {
	name, err := ticket.Parse(request.Header.Get(header.Ticket))
	require.NoError(e.world.t, err)
	body := request.Body.(*exchange.Bytes)
	for range 2 {
		server, _ := e.pick(nil)
		outgoing, err := http.NewRequest(request.Method, "http://"+server.String()+request.URL.String(), bytes.NewReader(body.Content))
		require.NoError(e.world.t, err)
		outgoing.Header.Set(header.Request, name.ID())
		response, err := e.plain.Do(outgoing)
		if err != nil {
			continue
		}
		defer response.Body.Close()
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
		return
	}
	w.Header().Set(header.NotRun, "failed")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// disturb sets new faults again and again until the run is over.
func (w *world) disturb(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(w.intn(400)) * time.Millisecond):
		}
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

func (w *world) faults() backend.Faults {
	drops := []backend.DropPoint{
		backend.DropBefore,
		backend.DropIn,
		backend.DropAfter,
		backend.DropInAnswer,
	}
	switch w.intn(9) {
	case 0:
		return backend.Faults{
			Draining: true,
		}
	case 1:
		return backend.Faults{
			ShedAll: true,
		}
	case 2:
		return backend.Faults{
			Silence: true,
		}
	case 3:
		return backend.Faults{
			Crossed: true,
		}
	case 4:
		return backend.Faults{
			Late: backend.Duration(time.Duration(w.intn(4000)) * time.Millisecond),
		}
	case 5, 6:
		return backend.Faults{
			Drop: drops[w.intn(len(drops))],
		}
	case 7:
		return backend.Faults{
			Crashed: true,
		}
	}
	return backend.Faults{}
}

// runs counts over all backend servers how often a payment took effect.
func (w *world) runs(name string) int {
	total := 0
	for _, b := range w.backends {
		total += b.Record().Runs[name]
	}
	return total
}

// caller makes payments one after the other. It sends each again, under the
// same name and to any host, until it knows what came of it.
func (w *world) caller() {
	client := &http.Client{
		Transport: &http.Transport{
			DialContext: w.network.dial,
		},
		Timeout: 3 * time.Second,
	}
	defer client.CloseIdleConnections()
	for range payments {
		// A look-up: the host answers with names of its own.
		name := w.entry(w.intn(hosts)).desk.Register.Issue("", 1).Name(0)
		for range maxSends {
			if w.pay(client, name) {
				break
			}
			time.Sleep(time.Duration(w.intn(300)) * time.Millisecond)
		}
	}
}

// pay sends the payment once, and reports whether it was answered.
func (w *world) pay(client *http.Client, text string) bool {
	name, err := ticket.Parse(text)
	require.NoError(w.t, err)
	url := fmt.Sprintf("http://%s/payments", w.entry(w.intn(hosts)).address)
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte("pay "+name.ID())))
	require.NoError(w.t, err)
	request.Header.Set(header.Ticket, text)
	response, err := client.Do(request)
	var body []byte
	if err == nil {
		defer response.Body.Close()
		body, err = io.ReadAll(response.Body)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sends++
	delete(w.last, name.ID())
	switch {
	case err != nil:
		w.unknown++
		return false
	case response.Header.Get(header.NotRun) != "":
		w.notRun++
		w.last[name.ID()] = header.Reason(response.Header.Get(header.NotRun))
		if w.runs(name.ID()) > 0 {
			w.falseNotRun++
		}
		return false
	case response.StatusCode != http.StatusOK:
		require.True(w.t, w.naive || response.Header.Get(header.Outcome) != "")
		w.unknown++
		return false
	}
	w.answered++
	var reply struct {
		Request string `json:"request"`
	}
	if json.Unmarshal(body, &reply) != nil || reply.Request != name.ID() {
		w.wrongAnswers++
	}
	return true
}

// run lets the callers pay under faults and returns what came of it.
func run(t *testing.T, seed uint64, naive bool) figures {
	var f figures
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			t:       t,
			naive:   naive,
			network: newNetwork(),
			random:  rand.New(rand.NewPCG(seed, 0)),
			entries: make([]*entry, hosts),
			last:    make(map[string]header.Reason),
		}
		var closing []*http.Server
		for i := range servers {
			w.backends = append(w.backends, &backend.Server{
				ServiceTime: 20 * time.Millisecond,
			})
			closing = append(closing, w.network.serve(t, backendAddress(i), w.backends[i]))
		}
		for i := range hosts {
			w.start(i)
		}
		done := make(chan struct{})
		var disturbing, paying sync.WaitGroup
		disturbing.Go(func() { w.disturb(done) })
		for range callers {
			paying.Go(w.caller)
		}
		paying.Wait()
		close(done)
		disturbing.Wait()
		time.Sleep(time.Minute) // virtual: what still runs comes to its end
		w.reruns = w.countReruns()
		for name := range w.last {
			if w.runs(name) > 0 {
				w.falseNotRun++
			}
		}
		if !naive {
			require.Zero(t, w.violations.Load())
		}
		for _, e := range w.entries {
			e.kill()
		}
		for _, server := range closing {
			_ = server.Close()
		}
		f = w.figures
	})
	return f
}

// countReruns counts the runs beyond the first over all backend servers.
func (w *world) countReruns() int {
	total := make(map[string]int)
	for _, b := range w.backends {
		for name, count := range b.Record().Runs {
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
	return figures{
		sends:        f.sends + g.sends,
		answered:     f.answered + g.answered,
		notRun:       f.notRun + g.notRun,
		unknown:      f.unknown + g.unknown,
		reruns:       f.reruns + g.reruns,
		falseNotRun:  f.falseNotRun + g.falseNotRun,
		wrongAnswers: f.wrongAnswers + g.wrongAnswers,
	}
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
