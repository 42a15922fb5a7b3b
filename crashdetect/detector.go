package crashdetect

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"trefoilline.example/trefoilline/exchange"
)

// maxCrashes is the number of crashes after which a request is rejected. They may be crashes
// of one server that restarts.
const maxCrashes = 2

// Defaults for the fields of [Detector].
const (
	DefaultRetention  = 10 * time.Minute
	DefaultMaxReports = 10_000
)

// duplicateInterval is the time within which two crashes of one backend server count as the same.
// Several requests may break at once, and the clocks of hosts differ.
const duplicateInterval = time.Second

// confirmationDelay is the time between a crash and the check whether it was the links that failed.
const confirmationDelay = 200 * time.Millisecond

// maxClockSkew is how far in the future a report of another host may lie. One that lies
// further ahead is treated as observed now.
const maxClockSkew = 5 * time.Second

// Detector keeps the reports of each fingerprint. The zero value is ready to use. It is
// safe for concurrent use and must not be copied.
type Detector struct {
	// Retention is how long a crash counts; [DefaultRetention] if zero. Reports are
	// removed in the order of their addition, so a late report may count longer.
	Retention time.Duration
	// MaxReports is how many reports are kept; [DefaultMaxReports] if zero. Beyond
	// that, a new report replaces the one that was added first.
	MaxReports int
	// Broadcast is called with each new crash report and each new clearance of this host,
	// not with those of other hosts. It is called synchronously, before the caller gets a
	// response and can send the request to another host. It may be nil.
	Broadcast func(Report)
	// IsReachable reports whether a backend server accepts a new connection. If it does,
	// the broken connection is not counted as a crash. If IsReachable is nil, every
	// broken connection counts as one.
	IsReachable func(server netip.AddrPort) bool
	// HasContact reports whether this host reaches other servers near one that is not reachable. If
	// it does not, the broken connection is not counted as a crash, since the links have failed
	// or all servers there. If HasContact is nil, the host always does.
	HasContact func(server netip.AddrPort) bool
	// HasLostContact reports whether this host no longer reaches others than a server which counts as
	// crashed. It is called confirmationDelay after HasContact, since links and the servers of a zone may
	// fail one after another. Until then the crash counts on this host only; if HasLostContact returns
	// true, it no longer counts, and other hosts are not told. It may be nil.
	HasLostContact func(server netip.AddrPort) bool
	// Clock returns the current time; [time.Now] if nil.
	Clock func() time.Time

	mu sync.Mutex
	// reports holds the reports of each fingerprint, at most one of them a clearance of all servers.
	reports map[Fingerprint][]Report
	// order holds the fingerprint of every report, in the order of their addition.
	order []Fingerprint
}

// RecordBrokenConnection records that a backend server broke the connection of the request.
// It first checks whether the server is still reachable, and if it is not, whether others are, because
// connections break for many reasons, and all equal requests with the same API key share a fingerprint.
func (d *Detector) RecordBrokenConnection(request *exchange.Request, server netip.AddrPort) {
	if d.IsReachable != nil && d.IsReachable(server) {
		return
	}
	if d.HasContact != nil && !d.HasContact(server) {
		return
	}
	report := Report{
		Fingerprint: FingerprintOf(request),
		Server:      server,
		ObservedAt:  d.now(),
	}
	if !d.AddReport(report) {
		return
	}
	if d.HasLostContact != nil {
		time.Sleep(confirmationDelay)
		if d.HasLostContact(server) {
			report.Cleared = true
			d.AddReport(report)
			return
		}
	}
	if d.Broadcast != nil {
		d.Broadcast(report)
	}
}

// RecordResponse records that the request got a complete response, which clears it if any
// crash counts against it.
func (d *Detector) RecordResponse(request *exchange.Request) {
	if d.isEmpty() {
		return
	}
	f := FingerprintOf(request)
	if d.CrashCount(f) == 0 {
		return
	}
	clearance := Report{
		Fingerprint: f,
		ObservedAt:  d.now(),
		Cleared:     true,
	}
	if d.AddReport(clearance) && d.Broadcast != nil {
		d.Broadcast(clearance)
	}
}

// AddReport adds a report of this or another host. It returns false if the report changes
// nothing, because it is known, too old, or precedes a clearance.
func (d *Detector) AddReport(report Report) bool {
	now := d.now()
	if report.ObservedAt.After(now.Add(maxClockSkew)) {
		report.ObservedAt = now
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeExpired(now)
	if now.Sub(report.ObservedAt) > d.retention() || slices.ContainsFunc(d.reports[report.Fingerprint], report.isRedundantTo) {
		return false
	}
	if d.reports == nil {
		d.reports = make(map[Fingerprint][]Report)
	}
	if report.Cleared {
		d.removeCleared(report)
	}
	if len(d.order) >= d.maxReports() {
		d.removeFirstAdded()
	}
	d.reports[report.Fingerprint] = append(d.reports[report.Fingerprint], report)
	d.order = append(d.order, report.Fingerprint)
	return true
}

// ShouldReject reports whether the request must be rejected because of its crashes.
func (d *Detector) ShouldReject(request *exchange.Request) bool {
	// The empty case is checked first, because a fingerprint costs a hash of the body.
	return !d.isEmpty() && d.CrashCount(FingerprintOf(request)) >= maxCrashes
}

func (d *Detector) isEmpty() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.order) == 0
}

// CrashCount returns the number of crashes that count against the fingerprint.
func (d *Detector) CrashCount(f Fingerprint) int {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeExpired(now)
	count := 0
	for _, report := range d.reports[f] {
		if !report.Cleared {
			count++
		}
	}
	return count
}

// Reports returns all reports, the oldest first. A host sends them to a host that has
// just started.
func (d *Detector) Reports() []Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []Report
	for _, reports := range d.reports {
		all = append(all, reports...)
	}
	slices.SortFunc(all, func(a, b Report) int { return a.ObservedAt.Compare(b.ObservedAt) })
	return all
}

// isRedundantTo reports whether the report adds nothing to a known one of the same
// fingerprint.
func (r Report) isRedundantTo(known Report) bool {
	if known.Cleared {
		return known.clears(r)
	}
	return !r.Cleared && r.Server == known.Server && r.ObservedAt.Sub(known.ObservedAt).Abs() < duplicateInterval
}

// clears reports whether the clearance applies to a report of the same fingerprint.
func (r Report) clears(known Report) bool {
	isOfServer := !r.Server.IsValid() || r.Server == known.Server
	return r.Cleared && isOfServer && !known.ObservedAt.After(r.ObservedAt)
}

// removeCleared removes the reports that do not count any more because of the clearance.
func (d *Detector) removeCleared(clearance Report) {
	f := clearance.Fingerprint
	before := len(d.reports[f])
	d.reports[f] = slices.DeleteFunc(d.reports[f], clearance.clears)
	removed := before - len(d.reports[f])
	d.order = slices.DeleteFunc(d.order, func(other Fingerprint) bool {
		if other != f || removed == 0 {
			return false
		}
		removed--
		return true
	})
}

// removeExpired removes reports in the order of their addition, up to the first that is still
// within the retention time. An expired report that was added after that one stays.
func (d *Detector) removeExpired(now time.Time) {
	for len(d.order) > 0 {
		firstAdded := d.reports[d.order[0]]
		if now.Sub(firstAdded[0].ObservedAt) <= d.retention() {
			return
		}
		d.removeFirstAdded()
	}
}

// removeFirstAdded removes the report that was added first.
func (d *Detector) removeFirstAdded() {
	f := d.order[0]
	d.order = d.order[1:]
	d.reports[f] = d.reports[f][1:]
	if len(d.reports[f]) == 0 {
		delete(d.reports, f)
	}
}

func (d *Detector) retention() time.Duration {
	if d.Retention == 0 {
		return DefaultRetention
	}
	return d.Retention
}

func (d *Detector) maxReports() int {
	if d.MaxReports == 0 {
		return DefaultMaxReports
	}
	return d.MaxReports
}

func (d *Detector) now() time.Time {
	if d.Clock == nil {
		return time.Now()
	}
	return d.Clock()
}
