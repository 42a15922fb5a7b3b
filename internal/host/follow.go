package host

import (
	"context"
	"encoding/json"
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

// follower follows a prefix of the store and logs when that stops and works again.
func (h *host) follower(prefix string, changed func(map[string]objectstore.Object)) *objectstore.Follower {
	return &objectstore.Follower{
		Source:  h.store,
		Prefix:  prefix,
		Changed: changed,
		Failed: func(err error) {
			h.log.Write(observe.StoreLost, zap.String("prefix", prefix), zap.Error(err))
		},
		Recovered: func() {
			h.log.Write(observe.StoreRegained, zap.String("prefix", prefix))
		},
	}
}

func (h *host) followConfiguration(ctx context.Context) {
	h.follower(platform.ConfigurationPrefix, func(objects map[string]objectstore.Object) {
		o, found := objects[platform.ConfigurationKey]
		if !found {
			return
		}
		configuration, err := platform.DecodeConfiguration(o)
		if err != nil {
			h.log.Write(observe.EntryUnusable, zap.String("key", o.Key), zap.Error(err))
			return
		}
		h.setConfiguration(configuration)
	}).Run(ctx)
}

// setConfiguration puts a configuration in force if it is newer.
func (h *host) setConfiguration(configuration routing.Configuration) {
	if !h.handler.SetConfiguration(routing.NewIndex(configuration)) {
		return
	}
	h.pool.SetServices(configuration.Services)
	h.book.SetTeams(configuration.Teams)
	h.log.Write(observe.ConfigurationInForce, zap.Uint64("version", uint64(configuration.Version)))
}

func (h *host) followServers(ctx context.Context) {
	h.follower(platform.ServerPrefix, func(objects map[string]objectstore.Object) {
		machines := make([]objectstore.Machine, 0, len(objects))
		for _, o := range objects {
			machine, err := platform.DecodeServer(o, h.settings.Zones)
			if err != nil {
				h.log.Write(observe.EntryUnusable, zap.String("key", o.Key), zap.Error(err))
				continue
			}
			machines = append(machines, machine)
		}
		h.pool.SetServers(machines)
		h.knowsPool.Store(true)
	}).Run(ctx)
}

func (h *host) followEvacuations(ctx context.Context) {
	h.follower(platform.EvacuationPrefix, func(objects map[string]objectstore.Object) {
		var zones []string
		for _, o := range objects {
			zones = append(zones, platform.DecodeEvacuation(o))
		}
		h.pool.SetEvacuated(zones)
		h.log.Write(observe.ZonesEvacuated, zap.Strings("zones", zones))
	}).Run(ctx)
}

func (h *host) followHosts(ctx context.Context) {
	h.follower(hostPrefix, func(objects map[string]objectstore.Object) {
		var records []roster.Host
		for _, o := range objects {
			var record roster.Host
			if err := json.Unmarshal(o.Value, &record); err != nil || !record.Peers.IsValid() {
				h.log.Write(observe.EntryUnusable, zap.String("key", o.Key), zap.Error(err))
				continue
			}
			records = append(records, record)
		}
		h.roster.SetRecords(records)
	}).Run(ctx)
}

// recordPause is the time between tries to write this host's record.
const recordPause = time.Second

// keepRecord writes this host's record until the store has it.
func (h *host) keepRecord(ctx context.Context) {
	value, err := json.Marshal(h.record())
	if err != nil {
		h.log.Write(observe.RecordUnwritten, zap.Error(err))
		return
	}
	for ctx.Err() == nil && !h.leaving.Load() {
		_, err := h.store.Put(ctx, hostPrefix+h.settings.Host, value, objectstore.Always{})
		if err == nil {
			return
		}
		h.log.Write(observe.RecordUnwritten, zap.Error(err))
		pause(ctx, recordPause)
	}
}
