package suspect

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"trefoilline.example/trefoilline/exchange"
)

// maxLost is how many backend servers a request may take down.
const maxLost = 2

// The settings of a list that are not set.
const (
	DefaultMemory = 10 * time.Minute
	DefaultLimit  = 10_000
)

// sameLoss is how close two losses of a backend server are one: requests that
// break together, and clocks of hosts that differ.
const sameLoss = time.Second

// maxAhead is how far in the future a loss of another host may lie, by its
// clock. Others are taken as just seen.
const maxAhead = 5 * time.Second

// List remembers the losses by fingerprint. The zero value is ready. It is safe
// for concurrent use and must not be copied.
type List struct {
	// Memory is how long a loss counts; [DefaultMemory] if zero.
	Memory time.Duration
	// Limit is how many losses are remembered; [DefaultLimit] if zero. Beyond
	// it the oldest are forgotten.
	Limit int
	// Share is called with each loss, and each end of a suspicion, that this host
	// saw first-hand, before its caller learns of it and can send the request
	// elsewhere. It may be nil.
	Share func(Loss)
	// Answers reports whether a backend server answers on a new connection. One
	// that does was not lost with the connection. If it is nil, every broken
	// connection counts as a loss.
	Answers func(server netip.AddrPort) bool
	// Clock tells the time; [time.Now] if nil.
	Clock func() time.Time

	mu sync.Mutex
	// losses holds what is known of each fingerprint, at most one clearance
	// among it.
	losses map[Fingerprint][]Loss
	// order holds the fingerprints of all that is known, oldest first.
	order []Fingerprint
}

// Lost notes that the backend server broke the connection of the request.
// Equal requests of many callers share a fingerprint, and connections break for
// many reasons, so the server is asked whether it is still there.
func (l *List) Lost(request *exchange.Request, server netip.AddrPort) {
	if l.Answers != nil && l.Answers(server) {
		return
	}
	loss := Loss{
		Fingerprint: Of(request),
		Server:      server,
		At:          l.now(),
	}
	if l.Add(loss) && l.Share != nil {
		l.Share(loss)
	}
}

// Answered clears the request, if it is suspected.
func (l *List) Answered(request *exchange.Request) {
	if l.isEmpty() {
		return
	}
	f := Of(request)
	if l.Count(f) == 0 {
		return
	}
	clearance := Loss{
		Fingerprint: f,
		At:          l.now(),
		Cleared:     true,
	}
	if l.Add(clearance) && l.Share != nil {
		l.Share(clearance)
	}
}

// Add notes a loss or a clearance, and reports false if it changes nothing: it
// is known already, too old, or cleared.
func (l *List) Add(loss Loss) bool {
	now := l.now()
	if loss.At.After(now.Add(maxAhead)) {
		loss.At = now
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if now.Sub(loss.At) > l.memory() || slices.ContainsFunc(l.losses[loss.Fingerprint], loss.isMootBy) {
		return false
	}
	if l.losses == nil {
		l.losses = make(map[Fingerprint][]Loss)
	}
	if loss.Cleared {
		l.dropUntil(loss)
	}
	if len(l.order) >= l.limit() {
		l.dropOldest()
	}
	l.losses[loss.Fingerprint] = append(l.losses[loss.Fingerprint], loss)
	l.order = append(l.order, loss.Fingerprint)
	return true
}

// Refuses tells whether the request took down as many backend servers as one
// may.
func (l *List) Refuses(request *exchange.Request) bool {
	// The fingerprint costs a hash of the body.
	return !l.isEmpty() && l.Count(Of(request)) >= maxLost
}

func (l *List) isEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.order) == 0
}

// Count returns how many backend servers were lost to the fingerprint.
func (l *List) Count(f Fingerprint) int {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	count := 0
	for _, loss := range l.losses[f] {
		if !loss.Cleared {
			count++
		}
	}
	return count
}

// Losses returns all that is known, for a host that is new.
func (l *List) Losses() []Loss {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Loss
	for _, losses := range l.losses {
		all = append(all, losses...)
	}
	slices.SortFunc(all, func(a, b Loss) int { return a.At.Compare(b.At) })
	return all
}

// isMootBy tells whether the loss adds nothing to what is known.
func (l Loss) isMootBy(known Loss) bool {
	if known.Cleared {
		return !l.At.After(known.At)
	}
	return !l.Cleared && l.Server == known.Server && l.At.Sub(known.At).Abs() < sameLoss
}

// dropUntil forgets what the clearance makes moot.
func (l *List) dropUntil(clearance Loss) {
	f := clearance.Fingerprint
	before := len(l.losses[f])
	l.losses[f] = slices.DeleteFunc(l.losses[f], func(known Loss) bool { return !known.At.After(clearance.At) })
	dropped := before - len(l.losses[f])
	l.order = slices.DeleteFunc(l.order, func(other Fingerprint) bool {
		if other != f || dropped == 0 {
			return false
		}
		dropped--
		return true
	})
}

// expire forgets the losses that no longer count.
func (l *List) expire(now time.Time) {
	for len(l.order) > 0 {
		oldest := l.losses[l.order[0]]
		if now.Sub(oldest[0].At) <= l.memory() {
			return
		}
		l.dropOldest()
	}
}

func (l *List) dropOldest() {
	f := l.order[0]
	l.order = l.order[1:]
	l.losses[f] = l.losses[f][1:]
	if len(l.losses[f]) == 0 {
		delete(l.losses, f)
	}
}

func (l *List) memory() time.Duration {
	if l.Memory == 0 {
		return DefaultMemory
	}
	return l.Memory
}

func (l *List) limit() int {
	if l.Limit == 0 {
		return DefaultLimit
	}
	return l.Limit
}

func (l *List) now() time.Time {
	if l.Clock == nil {
		return time.Now()
	}
	return l.Clock()
}
