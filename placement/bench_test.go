package placement_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/placement"
)

// BenchmarkAcquireRelease measures one reservation and its release at several numbers of
// backend servers in three regions, with and without queued requests.
func BenchmarkAcquireRelease(b *testing.B) {
	for _, servers := range []int{24, 465, 4998} {
		for _, queued := range []int{0, 100, 1000} {
			b.Run(fmt.Sprintf("servers=%d/queued=%d", servers, queued), func(b *testing.B) {
				benchmarkAcquireRelease(b, servers, queued, 0)
			})
		}
	}
}

// BenchmarkAcquireReleaseWithMaxShift measures the same while the requests that change their region are
// bounded and half of the keys leave the region.
func BenchmarkAcquireReleaseWithMaxShift(b *testing.B) {
	for _, queued := range []int{0, 1000} {
		b.Run(fmt.Sprintf("servers=465/queued=%d", queued), func(b *testing.B) {
			benchmarkAcquireRelease(b, 465, queued, testMaxShift)
		})
	}
}

// benchmarkKeys is the number of affinity keys that requests are about in the benchmark.
const benchmarkKeys = 600

func benchmarkAcquireRelease(b *testing.B, servers, queued int, maxShift float64) {
	pool := newPool(map[string]int{"accra": servers / 3, "kumasi": servers / 3, "tamale": servers / 3})
	if maxShift > 0 {
		pool.SetMaxShift(maxShift)
		pool.SetLocalShares(map[string]float64{
			"stock": 0.5,
		})
		pool.SetDestinations(map[string]map[string]float64{
			service: {
				"kumasi": 0.7,
				"tamale": 0.3,
			},
		})
	}
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	fillQueue(ctx, b, pool, queued)
	requests := make([]placement.Request, benchmarkKeys)
	for i := range requests {
		requests[i] = newRequest(fmt.Sprint("key-", i), 0)
	}
	var reserved []*placement.Reservation
	for i := range requests {
		if reservation, err := pool.Acquire(ctx, requests[i]); err == nil {
			reserved = append(reserved, reservation)
		}
	}
	for _, reservation := range reserved {
		pool.Release(reservation, placement.Inconclusive{})
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		reservation, err := pool.Acquire(ctx, requests[n%benchmarkKeys])
		n++
		if err != nil {
			continue
		}
		pool.Release(reservation, placement.Responded{
			Latency: 100 * time.Millisecond,
			Load: &placement.LoadReport{
				Running: 1,
				Slots:   4,
			},
		})
	}
}

// BenchmarkAcquireReleaseOfQueuedKey measures a slot that goes to a queued request and a new request
// that joins the queue, which is rejected at once, at several lengths of the queue.
func BenchmarkAcquireReleaseOfQueuedKey(b *testing.B) {
	for _, queued := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			pool := newPool(map[string]int{"accra": 465})
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			hot := newRequest("hot", time.Hour)
			released := make(chan *placement.Reservation, 2*(4+placement.DefaultServerQueueLimit))
			for range cap(released) {
				reservation, err := pool.Acquire(ctx, hot)
				if err != nil {
					b.Fatal(err)
				}
				released <- reservation
			}
			for range queued {
				go func() {
					for {
						reservation, err := pool.Acquire(ctx, hot)
						if err != nil {
							return
						}
						released <- reservation
					}
				}()
			}
			for pool.QueuedRequests(service) < queued {
				time.Sleep(time.Millisecond)
			}
			rejected := newRequest("hot", 0)
			b.ReportAllocs()
			for b.Loop() {
				if reservation, err := pool.Acquire(ctx, rejected); err == nil {
					pool.Release(reservation, placement.Inconclusive{})
				}
				pool.Release(<-released, placement.Inconclusive{})
			}
		})
	}
}

// fillQueue fills the servers of one key and queues the given number of requests for it.
func fillQueue(ctx context.Context, b *testing.B, pool *placement.Pool, queued int) {
	if queued == 0 {
		return
	}
	hot := newRequest("hot", time.Hour)
	for range 2 * (4 + placement.DefaultServerQueueLimit) {
		if _, err := pool.Acquire(ctx, hot); err != nil {
			b.Fatal(err)
		}
	}
	for range queued {
		go func() { _, _ = pool.Acquire(ctx, hot) }()
	}
	for pool.QueuedRequests(service) < queued {
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkSetServers measures a new list of backend servers in which one server changed.
func BenchmarkSetServers(b *testing.B) {
	for _, count := range []int{24, 465, 4998} {
		b.Run(fmt.Sprintf("servers=%d", count), func(b *testing.B) {
			servers := newServers(map[string]int{"accra": count / 3, "kumasi": count / 3, "tamale": count / 3})
			pool := newPool(nil)
			b.ReportAllocs()
			states := []objectstore.MachineState{objectstore.Draining, objectstore.Live}
			n := 0
			for b.Loop() {
				servers[0].State = states[n%len(states)]
				pool.SetServers(servers)
				n++
			}
		})
	}
}
