package host

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/membership"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/observe"
)

// copyPath is the path at which hosts give each other their copies of the store's objects.
const copyPath = "/trefoilline/copy"

// copyTimeout bounds a request for a copy. changesTimeout bounds one for changes, in addition to
// the time that it may wait for them: a reader that takes longer is frozen or cut off.
const (
	copyTimeout    = time.Second
	changesTimeout = 400 * time.Millisecond
)

// maxCopyBytes bounds the body of a copy.
const maxCopyBytes = 16 << 20

// directReadTime is how long a host reads the store itself after the reader of its region
// did not respond, or lacked changes that other hosts know.
const directReadTime = 5 * time.Second

// readerOrStoreSource is the source of a follower. It reads the objects of a prefix either
// from the store or from another host. In each region, one host, the reader, reads the prefix from
// the store, and the others read it from the reader. So the number of calls to the store
// does not grow with the number of hosts.
type readerOrStoreSource struct {
	host   *host
	prefix string
	// batchDelay is how long this host, if it is the reader, waits after a watch that
	// returned changes.
	batchDelay time.Duration

	mu sync.Mutex
	// directUntil is the time until which this host reads the store itself, although
	// another host is the reader.
	directUntil time.Time
	// lastReadFromStore is true if the last call went to the store, not to the reader.
	lastReadFromStore bool
	// failedReader is the name of a reader that did not respond, which is not selected
	// until failedUntil.
	failedReader string
	failedUntil  time.Time
}

var _ objectstore.SnapshotWatcher = (*readerOrStoreSource)(nil)

// selectReader returns the reader and true, or false if this host is to read the store
// itself. It records this choice in lastReadFromStore.
func (s *readerOrStoreSource) selectReader() (membership.HostRecord, bool) {
	self := s.host.settings().Host
	live := s.host.roster.LivePeers()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Before(s.failedUntil) {
		live = slices.DeleteFunc(live, func(hb membership.Heartbeat) bool { return hb.Name == s.failedReader })
	}
	reader, isOther := membership.SelectStoreReader(s.prefix, s.host.settings().Region, self, live)
	useReader := isOther && now.After(s.directUntil)
	s.lastReadFromStore = !useReader
	return reader, useReader
}

// startDirectReads makes this host read the store itself for [directReadTime]. If it
// already does, the time is not extended. Otherwise frequent changes, of which another host
// often knows first, would keep this host from ever returning to its reader.
func (s *readerOrStoreSource) startDirectReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.After(s.directUntil) {
		s.directUntil = now.Add(directReadTime)
	}
}

// readerDelay is how long a change may take from the reader to the hosts that read from it.
const readerDelay = 500 * time.Millisecond

// watchCallTime is how long a watch of the store may take to return a change that was made
// before it began.
const watchCallTime = 50 * time.Millisecond

// expectedDelay returns by how much this host may normally learn of a change later than
// other hosts. A host that reads the store waits batchDelay before the next watch, which
// then returns the change.
func (s *readerOrStoreSource) expectedDelay() time.Duration {
	if s.didLastReadFromStore() {
		return s.batchDelay + watchCallTime
	}
	return readerDelay
}

// nextBatchDelay returns how long the follower waits before the next watch if the last one
// returned changes. Hosts that read from the reader don't wait, because the reader already batches the
// changes.
func (s *readerOrStoreSource) nextBatchDelay() time.Duration {
	if s.didLastReadFromStore() {
		return s.batchDelay
	}
	return 0
}

// didLastReadFromStore reports whether the last call went to the store.
func (s *readerOrStoreSource) didLastReadFromStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastReadFromStore
}

// Snapshot implements [objectstore.SnapshotWatcher].
func (s *readerOrStoreSource) Snapshot(ctx context.Context, prefix string) (objectstore.VersionedObjects, error) {
	s.host.awaitFirstPeers(ctx)
	if reader, useReader := s.selectReader(); useReader {
		changes, err := s.host.peerMessenger.fetchObjects(ctx, reader.PeerAddress, url.Values{
			"prefix": {prefix},
			"fresh":  {"true"},
		}, 0)
		if err == nil || ctx.Err() != nil || s.host.isFirstStart() {
			return changes, err
		}
		s.logReaderFailure(reader, err)
		s.startDirectReads()
		return objectstore.VersionedObjects{}, &objectstore.CallAgainError{
			Cause: err,
		}
	}
	return s.host.store.Snapshot(ctx, prefix)
}

// Watch implements [objectstore.SnapshotWatcher].
func (s *readerOrStoreSource) Watch(ctx context.Context, prefix string, after objectstore.Version, wait time.Duration) (objectstore.VersionedObjects, error) {
	reader, useReader := s.selectReader()
	if !useReader {
		return s.host.store.Watch(ctx, prefix, after, wait)
	}
	changes, err := s.host.peerMessenger.fetchObjects(ctx, reader.PeerAddress, url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(uint64(after), 10)},
		"wait":   {wait.String()},
	}, wait)
	var historyGone *objectstore.HistoryGoneError
	if err != nil && ctx.Err() == nil && !errors.As(err, &historyGone) {
		again := &objectstore.CallAgainError{
			Cause: err,
			Delay: nextReaderDelay,
		}
		if !s.host.isFirstStart() {
			again.Delay = s.handleReaderFailure(reader, err)
		}
		return objectstore.VersionedObjects{}, again
	}
	return changes, err
}

// nextReaderDelay is how long this host waits before it asks the next reader, which must notice
// too that the first one is gone.
const nextReaderDelay = 200 * time.Millisecond

// handleReaderFailure makes this host use the next reader of the region because the reader did
// not respond, or read the store itself if that is the second failure in a short time. It returns
// how long to wait before the next call.
func (s *readerOrStoreSource) handleReaderFailure(reader membership.HostRecord, err error) time.Duration {
	s.logReaderFailure(reader, err)
	s.mu.Lock()
	isSecond := time.Now().Before(s.failedUntil)
	if !isSecond {
		s.failedReader, s.failedUntil = reader.Name, time.Now().Add(directReadTime)
	}
	s.mu.Unlock()
	if isSecond {
		s.startDirectReads()
		return 0
	}
	return nextReaderDelay
}

func (s *readerOrStoreSource) logReaderFailure(reader membership.HostRecord, err error) {
	s.host.log.Write(observe.StoreReaderUnavailable, zap.String("prefix", s.prefix), zap.String("reader", reader.PeerAddress.String()), zap.Error(err))
}

// firstStartTime is how long all hosts may take to start and find each other when the whole
// fleet starts for the first time.
const firstStartTime = 3 * time.Second

// isFirstStart reports whether this host started a short time ago, together with the whole
// fleet. While it did, it asks the reader again rather than the store.
func (h *host) isFirstStart() bool {
	return h.settings().FirstStart && time.Since(h.startedAt) < firstStartTime
}

// awaitFirstPeers waits, when the whole fleet starts for the first time, until the hosts have
// exchanged heartbeats. Otherwise each would read all objects from the store.
func (h *host) awaitFirstPeers(ctx context.Context) {
	if h.settings().FirstStart && len(h.settings().Seeds) > 1 {
		sleep(ctx, time.Until(h.startedAt.Add(firstStartTime/2)))
	}
}

// handleCopyRequest answers another host that asks for the objects of a prefix: with all
// of them, or with the changes after a version, as a watch of the store does.
func (p *peerMessenger) handleCopyRequest(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("prefix")
	follower, isFollowed := p.host.followers[prefix]
	if !isFollowed {
		http.Error(w, http.StatusText(http.StatusNotFound), http.StatusNotFound)
		return
	}
	changes, err := p.answerCopyRequest(r.Context(), follower, query)
	var historyGone *objectstore.HistoryGoneError
	var notReader *NotReaderError
	var invalid *InvalidQueryError
	switch {
	case errors.As(err, &historyGone):
		w.WriteHeader(http.StatusGone)
	case errors.As(err, &notReader):
		http.Error(w, err.Error(), http.StatusMisdirectedRequest)
	case errors.As(err, &invalid):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		// An error means that the other host is gone and needs no response.
		_ = p.copies.write(w, r, prefix, changes)
	}
}

// answerCopyRequest returns the objects for which another host asks. If the query has
// "after", these are the changes after that version, for which it waits up to "wait";
// otherwise they are all objects that the follower knows. If the query has "after" or "fresh",
// it returns a [NotReaderError] if this host does not read the store itself, and an
// [objectstore.StaleError] if the store does not respond. It returns an [InvalidQueryError] if
// "after" or "wait" can't be parsed, and an [objectstore.HistoryGoneError] if the changes since
// "after" are no longer known.
func (p *peerMessenger) answerCopyRequest(ctx context.Context, follower *objectstore.Follower, query url.Values) (objectstore.VersionedObjects, error) {
	didLastReadFromStore := p.host.sources[follower.Prefix].didLastReadFromStore()
	if !didLastReadFromStore && (query.Has("after") || query.Has("fresh")) {
		return objectstore.VersionedObjects{}, &NotReaderError{
			Prefix: follower.Prefix,
		}
	}
	if !query.Has("after") {
		if query.Has("fresh") && follower.IsFailing() {
			return objectstore.VersionedObjects{}, &objectstore.StaleError{
				Prefix: follower.Prefix,
			}
		}
		return follower.Snapshot(), nil
	}
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := time.ParseDuration(query.Get("wait"))
	if err = errors.Join(err, waitErr); err != nil {
		return objectstore.VersionedObjects{}, &InvalidQueryError{
			Cause: err,
		}
	}
	return follower.WaitForChanges(ctx, objectstore.Version(after), wait)
}

// fetchObjects asks another host for its copy of the objects of a prefix, or for changes
// of them, for which that host may wait. It returns an [objectstore.HistoryGoneError] if
// that host no longer has the changes, and a [CopyError] for all other failures.
func (p *peerMessenger) fetchObjects(ctx context.Context, address netip.AddrPort, query url.Values, wait time.Duration) (objectstore.VersionedObjects, error) {
	timeout := copyTimeout
	if query.Has("after") {
		timeout = wait + changesTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	changes, err := p.sendCopyRequest(ctx, address, query)
	var historyGone *objectstore.HistoryGoneError
	if err != nil && !errors.As(err, &historyGone) {
		return objectstore.VersionedObjects{}, &CopyError{
			Address: address,
			Cause:   err,
		}
	}
	return changes, err
}

// sendCopyRequest makes the call of fetchObjects. Status 410 becomes an
// [objectstore.HistoryGoneError], 503 an [objectstore.StaleError], and any other one but 200 a
// [CopyStatusError].
func (p *peerMessenger) sendCopyRequest(ctx context.Context, address netip.AddrPort, query url.Values) (objectstore.VersionedObjects, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+copyPath+"?"+query.Encode(), nil)
	if err != nil {
		return objectstore.VersionedObjects{}, err
	}
	request.Header.Set("Accept-Encoding", gzipEncoding)
	response, err := p.client.Do(request)
	if err != nil {
		return objectstore.VersionedObjects{}, err
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return objectstore.VersionedObjects{}, &objectstore.HistoryGoneError{
			Prefix: query.Get("prefix"),
		}
	case http.StatusServiceUnavailable:
		return objectstore.VersionedObjects{}, &objectstore.StaleError{
			Prefix: query.Get("prefix"),
		}
	default:
		return objectstore.VersionedObjects{}, &CopyStatusError{
			Status: response.StatusCode,
		}
	}
	var changes objectstore.VersionedObjects
	err = readJSON(response.Body, response.Header.Get("Content-Encoding"), maxCopyBytes, &changes)
	return changes, err
}

// CopyError reports that a copy of the store's objects could not be fetched from another
// host.
type CopyError struct {
	Address netip.AddrPort
	Cause   error
}

func (e *CopyError) Error() string {
	return "entry host " + e.Address.String() + ": " + e.Cause.Error()
}

func (e *CopyError) Unwrap() error { return e.Cause }

// NotReaderError reports that a host that was asked for changes does not read the store itself.
type NotReaderError struct {
	Prefix string
}

func (e *NotReaderError) Error() string { return "another host reads " + e.Prefix }

// InvalidQueryError reports a request for a copy that can't be parsed.
type InvalidQueryError struct {
	Cause error
}

func (e *InvalidQueryError) Error() string { return "invalid query: " + e.Cause.Error() }

func (e *InvalidQueryError) Unwrap() error { return e.Cause }

// CopyStatusError reports a response without a copy that says nothing of the store.
type CopyStatusError struct {
	Status int
}

func (e *CopyStatusError) Error() string {
	return strconv.Itoa(e.Status) + " " + http.StatusText(e.Status)
}
