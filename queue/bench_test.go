package queue_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"
)

// BenchmarkAcquire measures Acquire and Release without waiting, by the number
// of teams.
func BenchmarkAcquire(b *testing.B) {
	for _, teams := range []int{8, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			q := newQueue(16, 64)
			names := teamNames(teams)
			deadline := time.Now().Add(time.Hour)
			at := 0
			for b.Loop() {
				at = (at + 1) % teams
				g, err := q.Acquire(context.Background(), names[at], deadline)
				if err != nil {
					b.Fatal(err)
				}
				finish(g, names[at])
			}
		})
	}
}

// BenchmarkWaiting measures a request that waits while each team has one in
// line.
func BenchmarkWaiting(b *testing.B) {
	for _, teams := range []int{8, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			q := newQueue(1, 64)
			names := teamNames(teams)
			var group sync.WaitGroup
			count := b.N / teams
			for _, name := range names {
				group.Go(func() {
					for range count + 1 {
						g, err := q.Acquire(context.Background(), name, time.Time{})
						if err != nil {
							b.Error(err)
							return
						}
						finish(g, name)
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
