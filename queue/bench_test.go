package queue_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"
)

// BenchmarkAcquire measures Acquire and Release when a slot is free, for different
// numbers of teams.
func BenchmarkAcquire(b *testing.B) {
	for _, teams := range []int{8, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			q := newQueue(16, 64)
			names := teamNames(teams)
			deadline := time.Now().Add(time.Hour)
			next := 0
			for b.Loop() {
				next = (next + 1) % teams
				grant, err := q.Acquire(context.Background(), names[next], deadline)
				if err != nil {
					b.Fatal(err)
				}
				finishRequest(grant, names[next])
			}
		})
	}
}

// BenchmarkAcquireWhileQueued measures Acquire and Release of one slot while
// each team has one request that holds the slot or is queued, for different
// numbers of teams.
func BenchmarkAcquireWhileQueued(b *testing.B) {
	for _, teams := range []int{8, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			q := newQueue(1, 64)
			names := teamNames(teams)
			var group sync.WaitGroup
			requestsPerTeam := b.N / teams
			for _, name := range names {
				group.Go(func() {
					for range requestsPerTeam + 1 {
						grant, err := q.Acquire(context.Background(), name, time.Time{})
						if err != nil {
							b.Error(err)
							return
						}
						finishRequest(grant, name)
					}
				})
			}
			group.Wait()
		})
	}
}

func teamNames(count int) []string {
	names := make([]string, 0, count)
	for i := range count {
		names = append(names, fmt.Sprintf("team-%d", i))
	}
	return names
}
