package share_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"trefoilline.example/trefoilline/share"
)

// sizes are the fleet sizes that docs/share.md gives figures for.
var sizes = []struct {
	hosts int
	teams int
}{
	{
		hosts: 7,
		teams: 8,
	},
	{
		hosts: 70,
		teams: 80,
	},
	{
		hosts: 650,
		teams: 800,
	},
}

// newJoinedLimiter returns a limiter that is a member of an epoch of this size,
// with its clock and the allocation.
func newJoinedLimiter(hosts, teams int) (*share.Limiter, *time.Time, share.Allocation) {
	now := startTime
	clock := &now
	limiter := &share.Limiter{
		Host:        "host-000",
		Incarnation: 1,
		Clock:       func() time.Time { return *clock },
	}
	limiter.SetLimits(teamLimits(teams))
	var allocation share.Allocation
	var live []share.ProcessID
	for i := range hosts {
		live = append(live, share.ProcessID{
			Host:        fmt.Sprintf("host-%03d", i),
			Incarnation: 1,
		})
	}
	allocation, _ = share.NextAllocation(allocation, live)
	limiter.ApplyAllocation(allocation, 0)
	return limiter, clock, allocation
}

func BenchmarkAcquire(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("hosts-%d/teams-%d", size.hosts, size.teams), func(b *testing.B) {
			limiter, clock, allocation := newJoinedLimiter(size.hosts, size.teams)
			limits := teamLimits(size.teams)
			for b.Loop() {
				*clock = clock.Add(time.Millisecond)
				limiter.ApplyAllocation(allocation, limiter.Timestamp())
				limiter.Acquire(limits[0].Name, 1)
			}
		})
	}
}

// BenchmarkTick measures a tick with a hundredth of the teams active on the
// host, as if look-ups directed each team to six hosts of 650. The lenders
// grant every request.
func BenchmarkTick(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("hosts-%d/teams-%d", size.hosts, size.teams), func(b *testing.B) {
			limiter, clock, allocation := newJoinedLimiter(size.hosts, size.teams)
			limits := teamLimits(size.teams)
			ticks, sentBytes := 0, 0
			for b.Loop() {
				*clock = clock.Add(share.TickInterval)
				limiter.ApplyAllocation(allocation, limiter.Timestamp())
				for i := range max(1, size.teams/100) {
					limiter.Acquire(limits[i].Name, 1)
				}
				ticks++
				for _, envelope := range limiter.Tick() {
					data, err := json.Marshal(envelope)
					if err != nil {
						b.Fatal(err)
					}
					sentBytes += len(data)
					if request, ok := envelope.Message.(share.LoanRequest); ok {
						limiter.Receive(grantAll(request))
					}
				}
			}
			period := float64(ticks) * share.TickInterval.Seconds()
			b.ReportMetric(float64(sentBytes)/period, "sent-B/s")
			b.ReportMetric(100*b.Elapsed().Seconds()/period, "%core")
		})
	}
}

// grantAll lends all that was requested.
func grantAll(request share.LoanRequest) share.LoanResponse {
	response := share.LoanResponse{
		From: request.To,
		To:   request.From,
	}
	for _, item := range request.Items {
		response.Items = append(response.Items, share.LoanResponseItem{
			Limit:    item.Limit,
			Sequence: item.Sequence,
			Share:    item.Wanted,
			Duration: share.MaxLoanDuration,
		})
	}
	return response
}

func BenchmarkReceiveLoanRequest(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("hosts-%d/teams-%d", size.hosts, size.teams), func(b *testing.B) {
			limiter, clock, allocation := newJoinedLimiter(size.hosts, size.teams)
			limits := teamLimits(size.teams)
			sequence := uint64(0)
			for b.Loop() {
				*clock = clock.Add(time.Millisecond)
				limiter.ApplyAllocation(allocation, limiter.Timestamp())
				sequence++
				limiter.Receive(share.LoanRequest{
					From: allocation.Members[1+sequence%uint64(size.hosts-1)],
					To:   allocation.Members[0],
					Items: []share.LoanRequestItem{
						{
							Limit:    limits[sequence%uint64(size.teams)].Name,
							Sequence: sequence,
							Wanted:   0.1,
						},
					},
				})
			}
		})
	}
}

// BenchmarkApplyAllocation measures the work for one new epoch and the memory
// of a limiter.
func BenchmarkApplyAllocation(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("hosts-%d/teams-%d", size.hosts, size.teams), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			limiter, clock, allocation := newJoinedLimiter(size.hosts, size.teams)
			runtime.GC()
			runtime.ReadMemStats(&after)
			value, _ := allocation.Encode()
			for b.Loop() {
				*clock = clock.Add(time.Second)
				allocation.Epoch++
				limiter.ApplyAllocation(allocation, limiter.Timestamp())
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "state-B")
			b.ReportMetric(float64(len(value)), "allocation-B")
		})
	}
}
