package host

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/url"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/platform"
	"trefoilline.example/trefoilline/roster"
	"trefoilline.example/trefoilline/routing"
)

// hostPrefix is where the hosts keep their records in the store.
const hostPrefix = "entry-hosts/"

// follow makes the followers of all that this host takes from the store.
func (h *host) follow() {
	h.followers = make(map[string]*objectstore.Follower)
	h.sources = make(map[string]*source)
	h.addFollower(platform.ConfigurationPrefix, h.takeConfiguration, askPeriod, 0)
	h.addFollower(platform.ServerPrefix, h.takeServers, askPeriod, gather)
	// Servers renew their entries; all other objects stay until they are removed.
	h.followers[platform.ServerPrefix].GracePeriod = serverGrace
	h.addFollower(platform.EvacuationPrefix, h.takeEvacuations, askPeriod, 0)
	h.addFollower(hostPrefix, h.takeHosts, hostsPeriod, gather)
}

// askPeriod is how often some host asks the store anew for what a prefix holds: a
// watch may have fallen silent. The others learn of it by beats. Hosts are mostly
// found by beats.
const (
	askPeriod   = 1000 * time.Millisecond
	hostsPeriod = 8 * time.Second
)

// serverGrace is how long a backend server whose entry went during an outage of the
// store has to renew it.
const serverGrace = 2 * time.Second

// gather is how long changes gather between two calls that tell some, of objects
// that are many.
const gather = 300 * time.Millisecond

// addFollower follows a prefix, logs when that stops and works again, and tells the
// other hosts at once of changes that are urgent; of all others the next beat tells.
func (h *host) addFollower(prefix string, changed func(map[string]objectstore.Object) (isUrgent bool), period, gather time.Duration) {
	h.sources[prefix] = &source{
		host:   h,
		prefix: prefix,
		gather: gather,
	}
	h.followers[prefix] = &objectstore.Follower{
		Source:       h.sources[prefix],
		Prefix:       prefix,
		WatchTimeout: func() time.Duration { return h.watchWait(period) },
		BatchDelay:   h.sources[prefix].rest,
		OnChange: func(objects map[string]objectstore.Object) {
			if changed(objects) {
				h.peers.now()
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

// watchWait is how long a watch waits. The hosts that read the store, one a region,
// take turns at asking anew.
func (h *host) watchWait(period time.Duration) time.Duration {
	turn := min(time.Duration(len(h.regionHosts()))*period, objectstore.DefaultWatchTimeout)
	// Somewhat less or more than a turn, so that hosts do not ask together.
	return turn*3/4 + rand.N(turn/2)
}

// catchUp brings what this host knows up to what another tells that it knows.
func (h *host) catchUp(ctx context.Context, theirs roster.Heartbeat) {
	for prefix, changed := range theirs.StoreVersions {
		follower, isFollowed := h.followers[prefix]
		if !isFollowed {
			continue
		}
		switch follower.PlanCatchUp(changed, h.sources[prefix].patience()) {
		case objectstore.CopyFromPeer:
			copied, err := h.peers.copy(ctx, theirs.PeerAddress, url.Values{
				"prefix": {prefix},
			}, 0)
			if err != nil {
				h.log.Write(observe.HeartbeatSendFailed, zap.String("to", theirs.PeerAddress.String()), zap.Error(err))
				continue
			}
			follower.ReplaceIfNewer(copied)
		case objectstore.RefreshFromStore:
			h.sources[prefix].goDirect()
			follower.Refresh()
		case objectstore.UpToDate, objectstore.FetchPending:
		}
	}
}

func (h *host) takeConfiguration(objects map[string]objectstore.Object) (isUrgent bool) {
	o, found := objects[platform.ConfigurationKey]
	if !found {
		return false
	}
	configuration, err := platform.DecodeConfiguration(o)
	if err != nil {
		h.tellUnusable(o, err)
		return false
	}
	h.setConfiguration(configuration)
	return true
}

// setConfiguration puts a configuration in force if it is newer.
func (h *host) setConfiguration(configuration routing.Configuration) {
	if !h.handler.SetConfiguration(routing.NewIndex(configuration)) {
		return
	}
	h.pool.SetServices(configuration.Services)
	h.book.SetTeams(configuration.Teams)
	h.log.Write(observe.ConfigurationApplied, zap.Uint64("version", uint64(configuration.Version)))
}

// tellUnusable logs an object that can't be used, once for each version of it.
func (h *host) tellUnusable(o objectstore.Object, err error) {
	h.unusable.mu.Lock()
	defer h.unusable.mu.Unlock()
	if h.unusable.told[o.Key] == o.Version {
		return
	}
	if h.unusable.told == nil {
		h.unusable.told = make(map[string]objectstore.Version)
	}
	h.unusable.told[o.Key] = o.Version
	h.log.Write(observe.StoreObjectUnreadable, zap.String("key", o.Key), zap.Error(err))
}

// takeServers takes the backend servers. Those that come, or grow warm, are not
// urgent: of many servers some always do.
func (h *host) takeServers(objects map[string]objectstore.Object) (isUrgent bool) {
	machines := make([]objectstore.Machine, 0, len(objects))
	for _, o := range objects {
		machine, err := platform.DecodeServer(o, h.settings().Zones)
		if err != nil {
			h.tellUnusable(o, err)
			continue
		}
		machines = append(machines, machine)
	}
	isUrgent = h.pool.SetServers(machines)
	h.knowsPool.Store(true)
	return isUrgent
}

func (h *host) takeEvacuations(objects map[string]objectstore.Object) (isUrgent bool) {
	var zones []string
	for _, o := range objects {
		zones = append(zones, platform.EvacuatedZone(o))
	}
	h.pool.SetEvacuatedZones(zones)
	h.log.Write(observe.ZonesEvacuated, zap.Strings("zones", zones))
	return true
}

func (h *host) takeHosts(objects map[string]objectstore.Object) (isUrgent bool) {
	var records []roster.HostRecord
	for _, o := range objects {
		var record roster.HostRecord
		if err := json.Unmarshal(o.Value, &record); err != nil || !record.PeerAddress.IsValid() {
			h.tellUnusable(o, err)
			continue
		}
		records = append(records, record)
	}
	h.roster.SetRecords(records)
	h.knowsHosts.Store(true)
	return true
}

// recordPause is the time between tries to write this host's record.
const recordPause = time.Second

// keepRecord writes this host's record until the store has it.
func (h *host) keepRecord(ctx context.Context) {
	value, err := json.Marshal(h.record())
	if err != nil {
		h.log.Write(observe.HostRecordWriteFailed, zap.Error(err))
		return
	}
	for ctx.Err() == nil && !h.leaving.Load() {
		_, err := h.store.Put(ctx, hostPrefix+h.settings().Host, value, objectstore.Always{})
		if err == nil {
			return
		}
		h.log.Write(observe.HostRecordWriteFailed, zap.Error(err))
		pause(ctx, recordPause)
	}
}
