package fleet

import (
	"cmp"
	"slices"
	"time"
)

// CrashCount is the number of backend servers that one host has seen crash
// while they ran requests with the same fingerprint. Hosts add up the counts of
// all hosts.
type CrashCount struct {
	Fingerprint string `json:"fingerprint"`
	// Host is the name of the host that counted.
	Host string `json:"host"`
	// Crashes is the host's count so far.
	Crashes int `json:"lost"`
}

type crashCountKey struct {
	Fingerprint string
	Host        string
}

// crashCountEntry is a count and the time on the timeline at which it last
// increased.
type crashCountEntry struct {
	Crashes   int
	UpdatedAt time.Duration
}

// maxCrashCountsPerMessage is the maximum number of counts in a message,
// maxCrashCounts the maximum number that a host stores.
const (
	maxCrashCountsPerMessage = 8
	maxCrashCounts           = 4096
)

// RecordCrash counts a backend server that crashed while it ran a request with
// the fingerprint. The count is sent to other hosts; see recentCrashCounts.
func (n *Node) RecordCrash(fingerprint string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	key := crashCountKey{
		Fingerprint: fingerprint,
		Host:        n.Self.Name,
	}
	n.storeCrashCount(key, n.crashCounts[key].Crashes+1, now)
}

// Crashes returns the number of crashes of backend servers, over all hosts,
// that this host knows of for requests with the fingerprint.
func (n *Node) Crashes(fingerprint string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	count := 0
	for key, entry := range n.crashCounts {
		if key.Fingerprint == fingerprint && now-entry.UpdatedAt < n.settings.CrashCountRetention {
			count += entry.Crashes
		}
	}
	return count
}

// mergeCrashCounts merges counts of other hosts. A count never decreases.
func (n *Node) mergeCrashCounts(counts []CrashCount, now time.Duration) {
	for _, count := range counts {
		key := crashCountKey{
			Fingerprint: count.Fingerprint,
			Host:        count.Host,
		}
		if count.Crashes > n.crashCounts[key].Crashes {
			n.storeCrashCount(key, count.Crashes, now)
		}
	}
}

func (n *Node) storeCrashCount(key crashCountKey, crashes int, now time.Duration) {
	if n.crashCounts == nil {
		n.crashCounts = make(map[crashCountKey]crashCountEntry)
	}
	if len(n.crashCounts) >= maxCrashCounts {
		n.removeExpiredCrashCounts(now)
	}
	if _, exists := n.crashCounts[key]; !exists && len(n.crashCounts) >= maxCrashCounts {
		return
	}
	n.crashCounts[key] = crashCountEntry{
		Crashes:   crashes,
		UpdatedAt: now,
	}
}

// removeExpiredCrashCounts removes the counts that are older than
// CrashCountRetention.
func (n *Node) removeExpiredCrashCounts(now time.Duration) {
	for key, entry := range n.crashCounts {
		if now-entry.UpdatedAt >= n.settings.CrashCountRetention {
			delete(n.crashCounts, key)
		}
	}
}

// recentCrashCounts returns the recent counts to include in messages: the first
// maxCrashCountsPerMessage of them in order of fingerprint and host.
func (n *Node) recentCrashCounts(now time.Duration) []CrashCount {
	var recent []CrashCount
	for key, entry := range n.crashCounts {
		if now-entry.UpdatedAt >= n.settings.GossipTime {
			continue
		}
		recent = append(recent, CrashCount{
			Fingerprint: key.Fingerprint,
			Host:        key.Host,
			Crashes:     entry.Crashes,
		})
	}
	slices.SortFunc(recent, func(a, b CrashCount) int {
		return cmp.Or(
			cmp.Compare(a.Fingerprint, b.Fingerprint),
			cmp.Compare(a.Host, b.Host),
		)
	})
	return recent[:min(len(recent), maxCrashCountsPerMessage)]
}
