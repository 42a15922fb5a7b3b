package membership

import (
	"time"

	"trefoilline.example/trefoilline/crashdetect"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/placement"
	"trefoilline.example/trefoilline/quota"
)

// HostState is the part of a host's heartbeat that relays pass on when it changes.
type HostState struct {
	HostRecord
	Incarnation uint64 `json:"incarnation"`
	// Sequence is that of the heartbeat from which the state was taken.
	Sequence uint64 `json:"sequence"`
	Ready    bool   `json:"ready,omitempty"`
	Draining bool   `json:"leaving,omitempty"`
	// CutOff is as in a [Heartbeat].
	CutOff bool `json:"cut-off,omitempty"`
	// Holders is as in a [Heartbeat].
	Holders uint64 `json:"holders,omitempty"`
	// Gone is true if the relay does not count the host as live any more. Only the name
	// is set then.
	Gone bool `json:"gone,omitempty"`
}

// isSameExceptSequence reports whether two states differ in their sequence at most.
func (s HostState) isSameExceptSequence(other HostState) bool {
	s.Sequence = other.Sequence
	return s == other
}

// HostQuota is what a host reports of the teams whose rates it owns a part of.
type HostQuota struct {
	Name   string       `json:"name"`
	Demand quota.Demand `json:"asked,omitempty"`
	Shares quota.Shares `json:"parts,omitempty"`
}

// RegionSummary combines what the live hosts of a region measure. The fields are those of
// [Heartbeat] with the same names.
type RegionSummary struct {
	Region string `json:"region"`
	// CallerLoad is the sum over the hosts.
	CallerLoad CallerLoad `json:"caller-load,omitzero"`
	// RouteDemand is the sum over the hosts.
	RouteDemand map[string]float64 `json:"demand,omitempty"`
	// BoundRouteDemand is the sum over the hosts.
	BoundRouteDemand map[string]float64 `json:"bound-demand,omitempty"`
	// CachedSlotTimes is the lowest value of any host.
	CachedSlotTimes map[string]time.Duration `json:"works,omitempty"`
	// Utilization is the mean of the hosts.
	Utilization map[string]float64 `json:"crowding,omitempty"`
	// RemoteShares is that of any host.
	RemoteShares placement.RemoteShares `json:"away,omitempty"`
}

// Digest is what a relay tells another host about many hosts. A relay sends the hosts of its
// own region to the relays of other regions, and all hosts that it knows to the hosts of its
// own region.
type Digest struct {
	// Relay is the record of the sender.
	Relay       HostRecord `json:"relay"`
	Incarnation uint64     `json:"incarnation"`
	// Sequence grows with each digest of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Hosts holds what changed from version Base to Version of the relay's list of live
	// hosts. If Base is zero, it holds the whole list.
	Base    uint64      `json:"base"`
	Version uint64      `json:"version"`
	Hosts   []HostState `json:"hosts,omitempty"`
	// Quotas holds the reports that the receiver needs to divide the rates of teams.
	Quotas  []HostQuota     `json:"quotas,omitempty"`
	Regions []RegionSummary `json:"regions,omitempty"`
	// StoreVersions holds, by prefix of the store, the version of the latest change that any
	// host of the relay's region knows, or for the hosts of that region, any host at all. The
	// relay itself may lack that change.
	StoreVersions map[string]objectstore.Version `json:"known,omitempty"`
	// CrashReports, ServerLimits and LeavingServers are those of the relay's own heartbeat.
	CrashReports   []crashdetect.Report      `json:"losses,omitempty"`
	ServerLimits   []placement.ServerLimit   `json:"limits,omitempty"`
	LeavingServers []placement.LeavingServer `json:"leaving-servers,omitempty"`
	// RoundTrip is the shortest round-trip time from the relay to another region; zero if
	// it knows none.
	RoundTrip time.Duration `json:"round-trip,omitempty"`
}

// Summarize combines what the hosts of a region report.
func Summarize(region string, hosts []Heartbeat) RegionSummary {
	summary := RegionSummary{
		Region:           region,
		RouteDemand:      make(map[string]float64),
		BoundRouteDemand: make(map[string]float64),
		CachedSlotTimes:  make(map[string]time.Duration),
		Utilization:      make(map[string]float64),
	}
	reports := make(map[string]float64)
	for _, hb := range hosts {
		summary.CallerLoad = summary.CallerLoad.Add(hb.CallerLoad)
		for route, rate := range hb.RouteDemand {
			summary.RouteDemand[route] += rate
		}
		for route, rate := range hb.BoundRouteDemand {
			summary.BoundRouteDemand[route] += rate
		}
		for route, slotTime := range hb.CachedSlotTimes {
			if known, isKnown := summary.CachedSlotTimes[route]; !isKnown || slotTime < known {
				summary.CachedSlotTimes[route] = slotTime
			}
		}
		for service, utilization := range hb.Utilization {
			summary.Utilization[service] += utilization
			reports[service]++
		}
		if summary.RemoteShares == nil {
			summary.RemoteShares = hb.RemoteShares
		}
	}
	for service := range summary.Utilization {
		summary.Utilization[service] /= reports[service]
	}
	return summary
}
