package host

import (
	"context"
	"math/rand/v2"
	"net/url"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/membership"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/platform"
	"trefoilline.example/trefoilline/routing"
)

// hostRecordPrefix is the prefix of the store under which each host keeps its record.
const hostRecordPrefix = "entry-hosts/"

// addFollowers sets up the followers of all objects that this host reads from the store.
func (h *host) addFollowers() {
	h.followers = make(map[string]*objectstore.Follower)
	h.sources = make(map[string]*readerOrStoreSource)
	h.addFollower(platform.ConfigurationPrefix, h.applyConfiguration, refreshInterval, 0)
	h.followers[platform.ConfigurationPrefix].WatchWait = func() time.Duration {
		return h.watchWait(refreshInterval, maxConfigurationWait)
	}
	h.addFollower(platform.ServerPrefix, h.applyServers, refreshInterval, batchDelay)
	// Only servers renew their objects; all other objects stay until they are removed.
	h.followers[platform.ServerPrefix].GracePeriod = serverRenewalGrace
	h.followers[platform.ServerPrefix].Restore.Order = platform.OrderServers
	h.followers[platform.ConfigurationPrefix].Restore.Order = platform.OrderConfigurations
	h.addFollower(platform.EvacuationPrefix, h.applyEvacuations, refreshInterval, 0)
	h.addFollower(hostRecordPrefix, h.applyHosts, hostRefreshInterval, batchDelay)
}

// The average time between two new watches of a prefix, over all hosts that read the store
// (see [host.watchWait]). Watches are renewed because a watch may stop reporting changes
// without an error. The other hosts learn from heartbeats that there are changes. The watches
// of host records are renewed less often, because hosts find each other mostly by
// heartbeats.
const (
	refreshInterval     = 1000 * time.Millisecond
	hostRefreshInterval = 8 * time.Second
)

// serverRenewalGrace is how long a backend server has to renew its object in the store if
// the object disappeared during an outage of the store.
const serverRenewalGrace = 2 * time.Second

// After the store came back from an older copy, what it lacks is kept for restoreMissingTime, in
// which its writers write it again. What had been removed is left out for restoreReturnedTime,
// in which the objects of backend servers that have left expire.
const (
	restoreMissingTime  = 2 * time.Second
	restoreReturnedTime = 5 * time.Second
)

// batchDelay is how long a host that reads the store waits after a watch that returned
// changes, so that the next one returns many at once. It is used for prefixes with many
// objects.
const batchDelay = 300 * time.Millisecond

// addFollower adds a follower of a prefix. The follower logs when reading the prefix
// begins to fail and when it works again. Apply is called with all objects of the prefix
// after each change. If it reports that the change is urgent, a heartbeat is sent early;
// otherwise the next regular heartbeat tells the other hosts.
func (h *host) addFollower(prefix string, apply func(map[string]objectstore.Object) (isUrgent bool), interval, batchDelay time.Duration) {
	h.sources[prefix] = &readerOrStoreSource{
		host:       h,
		prefix:     prefix,
		batchDelay: batchDelay,
	}
	h.followers[prefix] = &objectstore.Follower{
		Source:     h.sources[prefix],
		Prefix:     prefix,
		WatchWait:  func() time.Duration { return h.watchWait(interval, objectstore.DefaultWatchWait) },
		BatchDelay: h.sources[prefix].nextBatchDelay,
		Restore: objectstore.RestorePolicy{
			MissingFor:  restoreMissingTime,
			ReturnedFor: restoreReturnedTime,
		},
		OnChange: func(objects map[string]objectstore.Object) {
			if apply(objects) {
				h.peerMessenger.sendHeartbeatSoon()
			}
		},
		OnFailure: func(err error) {
			h.log.Write(observe.StoreUnavailable, zap.String("prefix", prefix), zap.Error(err))
		},
		OnRecovery: func() {
			h.log.Write(observe.StoreRecovered, zap.String("prefix", prefix))
		},
	}
}

// handleRestore makes all followers list again, because the store has come back from an older
// copy of its objects. A watch that waits does not report what has changed with that.
func (h *host) handleRestore(era uint64) {
	h.log.Write(observe.StoreRestored, zap.Uint64("era", era))
	for _, follower := range h.followers {
		follower.Refresh()
	}
}

// maxConfigurationWait is the longest wait of a watch for configurations. A region that is cut
// off from the others learns of a new one that its watch missed with the next watch, and must
// then still be in time.
const maxConfigurationWait = time.Second

// watchWait returns how long a watch waits for changes. One host per region reads the
// store. Each waits the interval times the number of regions, so that on average one of them
// starts a new watch per interval, but at most maxWait.
func (h *host) watchWait(interval, maxWait time.Duration) time.Duration {
	wait := min(time.Duration(len(h.liveHostsByRegion()))*interval, maxWait)
	// A jitter of ±25 % keeps the hosts from calling the store at the same time.
	return wait*3/4 + rand.N(wait/2)
}

// catchUp compares the store versions in another host's heartbeat with this host's own
// and fetches what this host lacks, from the store or from the other host.
func (h *host) catchUp(ctx context.Context, peer membership.Heartbeat) {
	for prefix, version := range peer.StoreVersions {
		follower, isFollowed := h.followers[prefix]
		if !isFollowed {
			continue
		}
		switch follower.NextCatchUpAction(version, h.sources[prefix].expectedDelay()) {
		case objectstore.CopyFromPeer:
			copied, err := h.peerMessenger.fetchObjects(ctx, peer.PeerAddress, url.Values{
				"prefix": {prefix},
			}, 0)
			if err != nil {
				// A failed copy has no event of its own; the text of this one includes it.
				h.log.Write(observe.HeartbeatSendFailed, zap.String("to", peer.PeerAddress.String()), zap.Error(err))
				continue
			}
			follower.ReplaceIfNewer(copied)
		case objectstore.RefreshFromStore:
			h.sources[prefix].startDirectReads()
			follower.Refresh()
		case objectstore.UpToDate, objectstore.KeepWaiting:
		}
	}
}

// applyConfiguration puts the configuration among the objects in force. It is urgent if it
// could be read.
func (h *host) applyConfiguration(objects map[string]objectstore.Object) (isUrgent bool) {
	o, found := objects[platform.ConfigurationKey]
	if !found {
		return false
	}
	configuration, err := platform.DecodeConfiguration(o)
	if err != nil {
		h.logInvalid(o, err)
		return false
	}
	h.setConfiguration(configuration, o.Version)
	return true
}

// setConfiguration puts a configuration in force if it is newer than the current one. The
// stored version is that of its object in the store.
func (h *host) setConfiguration(configuration routing.Configuration, stored objectstore.Version) {
	if !h.handler.SetConfiguration(routing.NewIndex(configuration)) {
		return
	}
	h.pool.SetServices(configuration.Services)
	h.limiter.SetTeams(configuration.Teams)
	h.log.Write(observe.ConfigurationApplied, zap.Uint64("version", uint64(configuration.Version)),
		zap.Uint64("era", stored.Era()), zap.Uint64("revision", stored.Revision()))
}

// maxInvalidLogged is of how many invalid objects a host remembers that they were logged. Beyond that they are logged again.
const maxInvalidLogged = 1024

// logInvalid logs an object of the store that is invalid, once for each of its
// versions.
func (h *host) logInvalid(o objectstore.Object, err error) {
	h.invalid.mu.Lock()
	defer h.invalid.mu.Unlock()
	if h.invalid.logged[o.Key] == o.Version {
		return
	}
	if h.invalid.logged == nil || len(h.invalid.logged) >= maxInvalidLogged {
		h.invalid.logged = make(map[string]objectstore.Version)
	}
	h.invalid.logged[o.Key] = o.Version
	h.log.Write(observe.StoreObjectInvalid, zap.String("key", o.Key), zap.Error(err))
}

// applyServers gives the backend servers to the pool. Only changes that take something away
// are urgent. New servers and servers that finished warming up are not, because in a large
// system such changes happen all the time.
func (h *host) applyServers(objects map[string]objectstore.Object) (isUrgent bool) {
	servers := make([]objectstore.Machine, 0, len(objects))
	for _, o := range objects {
		server, err := platform.DecodeServer(o, h.settings().Zones)
		if err != nil {
			h.logInvalid(o, err)
			continue
		}
		servers = append(servers, server)
	}
	isUrgent = h.pool.SetServers(servers)
	h.serversLoaded.Store(true)
	return isUrgent
}

// applyEvacuations gives the evacuated zones to the pool. It is always urgent.
func (h *host) applyEvacuations(objects map[string]objectstore.Object) (isUrgent bool) {
	var zones []string
	for _, o := range objects {
		zones = append(zones, platform.EvacuatedZone(o))
	}
	h.pool.SetEvacuatedZones(zones)
	h.log.Write(observe.ZonesEvacuated, zap.Strings("zones", zones))
	return true
}
