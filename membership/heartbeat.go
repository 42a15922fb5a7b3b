package membership

import (
	"net/netip"
	"time"

	"trefoilline.example/trefoilline/crashdetect"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/placement"
	"trefoilline.example/trefoilline/quota"
	"trefoilline.example/trefoilline/routing"
)

// HeartbeatInterval is how often a host sends a heartbeat to every other host.
const HeartbeatInterval = 500 * time.Millisecond

// LivenessTimeout is how long a host counts as live after its last heartbeat.
const LivenessTimeout = 4 * HeartbeatInterval

// RetentionTime is how long a host's last reported state is kept after its last heartbeat.
// It is longer than [LivenessTimeout] because a host may have lost contact with this one
// and still serve callers.
const RetentionTime = 20 * time.Second

// HostRecord is the record of an entry host in the platform's store.
type HostRecord struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// CallerAddress is the address on which the host accepts callers.
	CallerAddress netip.AddrPort `json:"entry"`
	// PeerAddress is the address on which the host accepts other entry hosts.
	PeerAddress netip.AddrPort `json:"peers"`
	// ReadsDigests is true if the host understands a [Digest]. A host of an earlier build
	// does not, and gets heartbeats of all hosts.
	ReadsDigests bool `json:"digests,omitempty"`
	// Joined tells apart the records that hosts of this name have added to the store, one after
	// the other.
	Joined uint64 `json:"joined,omitempty"`
	// Forwards is true if the host serves requests that other hosts forward to it. A host of an
	// earlier build does not.
	Forwards bool `json:"forwards,omitempty"`
	// Lends is true if the host divides the teams' rates as [quota.Division] says. A host of an
	// earlier build does not.
	Lends bool `json:"lends,omitempty"`
	// Leased is true if the host owns what its record states on a [quota.Lease]. A host of an earlier
	// build does not.
	Leased bool `json:"leased,omitempty"`
	// Size is that of the host's machine. A host of an earlier build does not know it.
	Size Size `json:"size,omitzero"`
}

// Heartbeat is the state that a host reports to the other hosts.
type Heartbeat struct {
	HostRecord
	// Incarnation identifies one run of the host. It differs after each restart but
	// has no order: it comes from the clock, which may be set back.
	Incarnation uint64 `json:"incarnation"`
	// Sequence grows with each heartbeat of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Ready is true while the host accepts callers.
	Ready bool `json:"ready"`
	// Draining is true from the time when the host was told to stop.
	Draining bool `json:"leaving,omitempty"`
	// CutOff is true while the host reaches no backend server.
	CutOff bool `json:"cut-off,omitempty"`
	// ConfigurationVersion is the version of the configuration in force on the host.
	ConfigurationVersion routing.Version `json:"version"`
	// StoreVersions holds, by prefix of the store, the version of the latest change that
	// the host knows.
	StoreVersions map[string]objectstore.Version `json:"known,omitempty"`
	// Partial is true if the heartbeat omits the fields that [Heartbeat.ToPartial] clears.
	// Their last reported values remain valid.
	Partial bool `json:"brief,omitempty"`
	// Holders is the hash of the hosts among which the host counts the teams' rates as divided.
	Holders uint64 `json:"holders,omitempty"`
	// RatePart is the part of the teams' rates that the host may use, with the version of the record that states it. Its part
	// is zero if it may use none.
	RatePart quota.PartStatement `json:"rate-part,omitzero"`
	// TeamDemand is the rate of requests that the host receives, by team.
	TeamDemand quota.Demand `json:"asked,omitempty"`
	// TeamShares is the host's fraction of each team's rate.
	TeamShares quota.Shares `json:"parts,omitempty"`
	// CallerLoad is the load of the host's callers.
	CallerLoad CallerLoad `json:"caller-load,omitzero"`
	// RouteDemand is the rate of the requests that the host receives and that any
	// region may serve, by route, in requests per second.
	RouteDemand map[string]float64 `json:"demand,omitempty"`
	// BoundRouteDemand is the same for requests that only some regions may serve, among them that
	// of the host.
	BoundRouteDemand map[string]float64 `json:"bound-demand,omitempty"`
	// CachedSlotTimes is how long a request occupies a slot of a backend server that has
	// its affinity key cached, by route, as measured by the host.
	CachedSlotTimes map[string]time.Duration `json:"works,omitempty"`
	// Utilization is the load of the backend servers in the host's region relative to
	// their slots, by service.
	Utilization map[string]float64 `json:"crowding,omitempty"`
	// RemoteShares is the fraction of the region's load that other regions are to
	// serve, by service.
	RemoteShares placement.RemoteShares `json:"away,omitempty"`
	// CrashReports holds recent crash reports and clearances of requests.
	CrashReports []crashdetect.Report `json:"losses,omitempty"`
	// ServerLimits holds the limits that backend servers named or ended lately.
	ServerLimits []placement.ServerLimit `json:"limits,omitempty"`
	// LeavingServers holds the servers that said lately that they leave.
	LeavingServers []placement.LeavingServer `json:"leaving-servers,omitempty"`
}

// ToPartial returns a copy of the heartbeat without the fields whose size grows with
// the number of teams, routes and services.
func (hb Heartbeat) ToPartial() Heartbeat {
	hb.Partial = true
	hb.TeamDemand, hb.TeamShares, hb.RouteDemand, hb.CachedSlotTimes, hb.Utilization, hb.RemoteShares = nil, nil, nil, nil, nil, nil
	hb.BoundRouteDemand = nil
	return hb
}

// fillFrom copies the fields that a partial heartbeat omits from an earlier heartbeat.
func (hb *Heartbeat) fillFrom(earlier Heartbeat) {
	hb.TeamDemand, hb.TeamShares, hb.RouteDemand = earlier.TeamDemand, earlier.TeamShares, earlier.RouteDemand
	hb.BoundRouteDemand = earlier.BoundRouteDemand
	hb.CachedSlotTimes, hb.Utilization, hb.RemoteShares = earlier.CachedSlotTimes, earlier.Utilization, earlier.RemoteShares
}
