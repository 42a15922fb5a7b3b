package fleet

import (
	"cmp"
	"slices"
	"time"
)

// CrashCount is a small fact that hosts count together: how many backend servers
// one host has lost to requests with the same fingerprint.
type CrashCount struct {
	Fingerprint string `json:"fingerprint"`
	// Host is who counted.
	Host string `json:"host"`
	// Crashes is its count so far.
	Crashes int `json:"lost"`
}

type noticeKey struct {
	Fingerprint string
	Host        string
}

// noticeEntry is a notice and when it was last raised, on the timeline.
type noticeEntry struct {
	Lost int
	At   time.Duration
}

// maxNotices bounds the notices in a message and maxHeldNotices those kept.
const (
	maxNotices     = 8
	maxHeldNotices = 4096
)

// RecordCrash counts a backend server lost to a request with the fingerprint
// and spreads it.
func (n *Node) RecordCrash(fingerprint string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	key := noticeKey{
		Fingerprint: fingerprint,
		Host:        n.Self.Name,
	}
	n.keepNotice(key, n.notices[key].Lost+1, now)
}

// Crashes returns how many backend servers all hosts together have lost to
// requests with the fingerprint, as far as this host knows.
func (n *Node) Crashes(fingerprint string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	count := 0
	for key, entry := range n.notices {
		if key.Fingerprint == fingerprint && now-entry.At < n.settings.CrashCountRetention {
			count += entry.Lost
		}
	}
	return count
}

// mergeNotices takes in what others counted; a count only grows.
func (n *Node) mergeNotices(notices []CrashCount, now time.Duration) {
	for _, notice := range notices {
		key := noticeKey{
			Fingerprint: notice.Fingerprint,
			Host:        notice.Host,
		}
		if notice.Crashes > n.notices[key].Lost {
			n.keepNotice(key, notice.Crashes, now)
		}
	}
}

func (n *Node) keepNotice(key noticeKey, lost int, now time.Duration) {
	if n.notices == nil {
		n.notices = make(map[noticeKey]noticeEntry)
	}
	if len(n.notices) >= maxHeldNotices {
		n.expireNotices(now)
	}
	if _, held := n.notices[key]; !held && len(n.notices) >= maxHeldNotices {
		return
	}
	n.notices[key] = noticeEntry{
		Lost: lost,
		At:   now,
	}
}

// expireNotices drops what no longer counts.
func (n *Node) expireNotices(now time.Duration) {
	for key, entry := range n.notices {
		if now-entry.At >= n.settings.CrashCountRetention {
			delete(n.notices, key)
		}
	}
}

// recentNotices returns those to repeat in messages.
func (n *Node) recentNotices(now time.Duration) []CrashCount {
	var recent []CrashCount
	for key, entry := range n.notices {
		if now-entry.At >= n.settings.GossipTime {
			continue
		}
		recent = append(recent, CrashCount{
			Fingerprint: key.Fingerprint,
			Host:        key.Host,
			Crashes:     entry.Lost,
		})
	}
	slices.SortFunc(recent, func(a, b CrashCount) int {
		return cmp.Or(
			cmp.Compare(a.Fingerprint, b.Fingerprint),
			cmp.Compare(a.Host, b.Host),
		)
	})
	return recent[:min(len(recent), maxNotices)]
}
