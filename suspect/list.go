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
	DefaultRetention  = 10 * time.Minute
	DefaultMaxReports = 10_000
)

// sameLoss is how close two losses of a backend server are one: requests that
// break together, and clocks of hosts that differ.
const sameLoss = time.Second

// maxAhead is how far in the future a loss of another host may lie, by its
// clock. Others are taken as just seen.
const maxAhead = 5 * time.Second

// Detector remembers the losses by fingerprint. The zero value is ready. It is safe
// for concurrent use and must not be copied.
type Detector struct {
	// Retention is how long a loss counts; [DefaultRetention] if zero.
	Retention time.Duration
	// MaxReports is how many losses are remembered; [DefaultMaxReports] if zero. Beyond
	// it the oldest are forgotten.
	MaxReports int
	// Broadcast is called with each loss, and each end of a suspicion, that this host
	// saw first-hand, before its caller learns of it and can send the request
	// elsewhere. It may be nil.
	Broadcast func(Report)
	// IsReachable reports whether a backend server answers on a new connection. One
	// that does was not lost with the connection. If it is nil, every broken
	// connection counts as a loss.
	IsReachable func(server netip.AddrPort) bool
	// Clock tells the time; [time.Now] if nil.
	Clock func() time.Time

	mu sync.Mutex
	// losses holds what is known of each fingerprint, at most one clearance
	// among it.
	losses map[Fingerprint][]Report
	// order holds the fingerprints of all that is known, oldest first.
	order []Fingerprint
}

// Lost notes that the backend server broke the connection of the request.
// Equal requests of many callers share a fingerprint, and connections break for
// many reasons, so the server is asked whether it is still there.
func (l *Detector) Lost(request *exchange.Request, server netip.AddrPort) {
	if l.IsReachable != nil && l.IsReachable(server) {
		return
	}
	loss := Report{
		Fingerprint: FingerprintOf(request),
		Server:      server,
		ObservedAt:  l.now(),
	}
	if l.AddReport(loss) && l.Broadcast != nil {
		l.Broadcast(loss)
	}
}

// Answered clears the request, if it is suspected.
func (l *Detector) Answered(request *exchange.Request) {
	if l.isEmpty() {
		return
	}
	f := FingerprintOf(request)
	if l.CrashCount(f) == 0 {
		return
	}
	clearance := Report{
		Fingerprint: f,
		ObservedAt:  l.now(),
		Cleared:     true,
	}
	if l.AddReport(clearance) && l.Broadcast != nil {
		l.Broadcast(clearance)
	}
}

// AddReport notes a loss or a clearance, and reports false if it changes nothing: it
// is known already, too old, or cleared.
func (l *Detector) AddReport(loss Report) bool {
	now := l.now()
	if loss.ObservedAt.After(now.Add(maxAhead)) {
		loss.ObservedAt = now
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if now.Sub(loss.ObservedAt) > l.memory() || slices.ContainsFunc(l.losses[loss.Fingerprint], loss.isMootBy) {
		return false
	}
	if l.losses == nil {
		l.losses = make(map[Fingerprint][]Report)
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
func (l *Detector) Refuses(request *exchange.Request) bool {
	// The fingerprint costs a hash of the body.
	return !l.isEmpty() && l.CrashCount(FingerprintOf(request)) >= maxLost
}

func (l *Detector) isEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.order) == 0
}

// CrashCount returns how many backend servers were lost to the fingerprint.
func (l *Detector) CrashCount(f Fingerprint) int {
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

// Reports returns all that is known, for a host that is new.
func (l *Detector) Reports() []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Report
	for _, losses := range l.losses {
		all = append(all, losses...)
	}
	slices.SortFunc(all, func(a, b Report) int { return a.ObservedAt.Compare(b.ObservedAt) })
	return all
}

// isMootBy tells whether the loss adds nothing to what is known.
func (l Report) isMootBy(known Report) bool {
	if known.Cleared {
		return !l.ObservedAt.After(known.ObservedAt)
	}
	return !l.Cleared && l.Server == known.Server && l.ObservedAt.Sub(known.ObservedAt).Abs() < sameLoss
}

// dropUntil forgets what the clearance makes moot.
func (l *Detector) dropUntil(clearance Report) {
	f := clearance.Fingerprint
	before := len(l.losses[f])
	l.losses[f] = slices.DeleteFunc(l.losses[f], func(known Report) bool { return !known.ObservedAt.After(clearance.ObservedAt) })
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
func (l *Detector) expire(now time.Time) {
	for len(l.order) > 0 {
		oldest := l.losses[l.order[0]]
		if now.Sub(oldest[0].ObservedAt) <= l.memory() {
			return
		}
		l.dropOldest()
	}
}

func (l *Detector) dropOldest() {
	f := l.order[0]
	l.order = l.order[1:]
	l.losses[f] = l.losses[f][1:]
	if len(l.losses[f]) == 0 {
		delete(l.losses, f)
	}
}

func (l *Detector) memory() time.Duration {
	if l.Retention == 0 {
		return DefaultRetention
	}
	return l.Retention
}

func (l *Detector) limit() int {
	if l.MaxReports == 0 {
		return DefaultMaxReports
	}
	return l.MaxReports
}

func (l *Detector) now() time.Time {
	if l.Clock == nil {
		return time.Now()
	}
	return l.Clock()
}
