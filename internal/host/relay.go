package host

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/roster"
)

// copyPath is where hosts give others what they know of the store.
const copyPath = "/trefoilline/copy"

// copyTimeout bounds a call for a copy, on top of what it may wait.
const copyTimeout = time.Second

// maxCopy bounds a copy, in bytes.
const maxCopy = 16 << 20

// directTime is for how long a host asks the store itself when the host that reads
// for it did not bring what others know, or did not answer.
const directTime = 5 * time.Second

// source is where this host gets a prefix of the store from. In each region one host
// reads the store and the others follow it, so that the calls of the store do not
// grow with the hosts.
type source struct {
	host   *host
	prefix string
	// gather is how long this host rests between two calls of the store that tell
	// changes.
	gather time.Duration

	mu sync.Mutex
	// direct is until when this host asks the store itself.
	direct time.Time
	// reads tells that the last call went to the store.
	reads bool
}

var _ objectstore.SnapshotWatcher = (*source)(nil)

// reader returns the host to follow, false if this host asks the store itself.
func (s *source) reader() (netip.AddrPort, bool) {
	self := s.host.settings().Host
	peers := s.host.roster.LivePeers()
	reader, isOther := roster.SelectStoreReader(s.prefix, s.host.settings().Region, self, peers)
	s.mu.Lock()
	defer s.mu.Unlock()
	follows := isOther && time.Now().After(s.direct)
	s.reads = !follows
	return reader.PeerAddress, follows
}

// goDirect makes this host ask the store itself for a while. One that does already is
// not kept at it by each change that another knows first.
func (s *source) goDirect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.After(s.direct) {
		s.direct = now.Add(directTime)
	}
}

// relayTime is how long a change may take from the host that reads the store to
// those that follow it.
const relayTime = 500 * time.Millisecond

// patience is how long a change that others know may be on its way here. Who reads the
// store asks it again after its rest by itself.
func (s *source) patience() time.Duration {
	if s.isReading() {
		return s.gather
	}
	return relayTime
}

// rest is how long to rest after changes. Who follows a reader does not: the reader has
// let them gather.
func (s *source) rest() time.Duration {
	if s.isReading() {
		return s.gather
	}
	return 0
}

func (s *source) isReading() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Snapshot implements [objectstore.SnapshotWatcher].
func (s *source) Snapshot(ctx context.Context, prefix string) (objectstore.Changes, error) {
	if reader, follows := s.reader(); follows {
		found, err := s.host.peers.copy(ctx, reader, url.Values{
			"prefix": {prefix},
			"fresh":  {"true"},
		}, 0)
		if err == nil || ctx.Err() != nil {
			return found, err
		}
		s.lost(reader, err)
	}
	return s.host.store.Snapshot(ctx, prefix)
}

// Watch implements [objectstore.SnapshotWatcher].
func (s *source) Watch(ctx context.Context, prefix string, after objectstore.Version, wait time.Duration) (objectstore.Changes, error) {
	reader, follows := s.reader()
	if !follows {
		return s.host.store.Watch(ctx, prefix, after, wait)
	}
	found, err := s.host.peers.copy(ctx, reader, url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(uint64(after), 10)},
		"wait":   {wait.String()},
	}, wait)
	var gone *objectstore.HistoryGoneError
	if err != nil && ctx.Err() == nil && !errors.As(err, &gone) {
		s.lost(reader, err)
		return objectstore.Changes{
			Next: after,
		}, nil
	}
	return found, err
}

// lost turns to the store because the reader did not answer.
func (s *source) lost(reader netip.AddrPort, err error) {
	s.goDirect()
	s.host.log.Write(observe.StoreReaderUnavailable, zap.String("prefix", s.prefix), zap.String("reader", reader.String()), zap.Error(err))
}

// give gives what this host knows of a prefix: a copy, or the changes after a
// version as a watch of the store does.
func (p *peers) give(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("prefix")
	follower, isFollowed := p.host.followers[prefix]
	if !isFollowed {
		http.Error(w, http.StatusText(http.StatusNotFound), http.StatusNotFound)
		return
	}
	found, err := p.known(r.Context(), follower, query)
	var gone *objectstore.HistoryGoneError
	switch {
	case errors.As(err, &gone):
		w.WriteHeader(http.StatusGone)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.Header().Set("Content-Type", "application/json")
		// A host that is gone needs no answer.
		_ = json.NewEncoder(w).Encode(found)
	}
}

// known returns what is asked for of a follower.
func (p *peers) known(ctx context.Context, follower *objectstore.Follower, query url.Values) (objectstore.Changes, error) {
	isReading := p.host.sources[follower.Prefix].isReading()
	if !query.Has("after") {
		if query.Has("fresh") && (!isReading || follower.IsFailing()) {
			return objectstore.Changes{}, &objectstore.StaleError{
				Prefix: follower.Prefix,
			}
		}
		return follower.Copy(), nil
	}
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := time.ParseDuration(query.Get("wait"))
	if err != nil || waitErr != nil || !isReading {
		return objectstore.Changes{}, &objectstore.StaleError{
			Prefix: follower.Prefix,
		}
	}
	return follower.WaitForChanges(ctx, objectstore.Version(after), wait)
}

// copy asks another host for what it knows.
func (p *peers) copy(ctx context.Context, address netip.AddrPort, query url.Values, wait time.Duration) (objectstore.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+copyTimeout)
	defer cancel()
	found, err := p.fetch(ctx, address, query)
	var gone *objectstore.HistoryGoneError
	if err != nil && !errors.As(err, &gone) {
		return objectstore.Changes{}, &CopyError{
			Address: address,
			Cause:   err,
		}
	}
	return found, err
}

func (p *peers) fetch(ctx context.Context, address netip.AddrPort, query url.Values) (objectstore.Changes, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+copyPath+"?"+query.Encode(), nil)
	if err != nil {
		return objectstore.Changes{}, err
	}
	response, err := p.client.Do(request)
	if err != nil {
		return objectstore.Changes{}, err
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return objectstore.Changes{}, &objectstore.HistoryGoneError{
			Key: query.Get("prefix"),
		}
	default:
		return objectstore.Changes{}, &objectstore.StaleError{
			Prefix: query.Get("prefix"),
		}
	}
	var found objectstore.Changes
	err = json.NewDecoder(io.LimitReader(response.Body, maxCopy)).Decode(&found)
	return found, err
}

// CopyError reports that another host did not answer.
type CopyError struct {
	Address netip.AddrPort
	Cause   error
}

func (e *CopyError) Error() string {
	return "entry host " + e.Address.String() + ": " + e.Cause.Error()
}

func (e *CopyError) Unwrap() error { return e.Cause }
