package share_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"trefoilline.example/trefoilline/share"
)

// sizes are the hosts and teams of the slopes in docs/share.md.
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

// joined is a holder in a settled epoch of this size, with its clock.
func joined(hosts, teams int) (*share.Limiter, *time.Time, share.Allocation) {
	now := epochZero
	clock := &now
	h := &share.Limiter{
		Host:        "host-000",
		Incarnation: 1,
		Clock:       func() time.Time { return *clock },
	}
	h.SetLimits(teamLimits(teams))
	var a share.Allocation
	var live []share.ProcessID
	for place := range hosts {
		live = append(live, share.ProcessID{
			Host:        fmt.Sprintf("host-%03d", place),
			Incarnation: 1,
		})
	}
	a, _ = share.NextAllocation(a, live)
	h.ApplyAllocation(a, 0)
	return h, clock, a
}

func BenchmarkTake(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("hosts-%d/teams-%d", size.hosts, size.teams), func(b *testing.B) {
			h, clock, a := joined(size.hosts, size.teams)
			limits := teamLimits(size.teams)
			for b.Loop() {
				*clock = clock.Add(time.Millisecond)
				h.ApplyAllocation(a, h.Timestamp())
				h.Acquire(limits[0].Name, 1)
			}
		})
	}
}

// BenchmarkTick has a hundredth of the teams active on the host, as when
// look-ups send each team to six hosts of 650, and lenders that lend all.
func BenchmarkTick(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("hosts-%d/teams-%d", size.hosts, size.teams), func(b *testing.B) {
			h, clock, a := joined(size.hosts, size.teams)
			limits := teamLimits(size.teams)
			ticks, bytes := 0, 0
			for b.Loop() {
				*clock = clock.Add(share.TickInterval)
				h.ApplyAllocation(a, h.Timestamp())
				for place := range max(1, size.teams/100) {
					h.Acquire(limits[place].Name, 1)
				}
				ticks++
				for _, envelope := range h.Tick() {
					data, err := json.Marshal(envelope)
					if err != nil {
						b.Fatal(err)
					}
					bytes += len(data)
					if ask, ok := envelope.Message.(share.LoanRequest); ok {
						h.Receive(answerAsk(ask))
					}
				}
			}
			period := float64(ticks) * share.TickInterval.Seconds()
			b.ReportMetric(float64(bytes)/period, "sent-B/s")
			b.ReportMetric(100*b.Elapsed().Seconds()/period, "%core")
		})
	}
}

// answerAsk lends all that was wanted.
func answerAsk(ask share.LoanRequest) share.LoanResponse {
	lend := share.LoanResponse{
		From: ask.To,
		To:   ask.From,
	}
	for _, item := range ask.Items {
		lend.Items = append(lend.Items, share.LoanResponseItem{
			Limit:    item.Limit,
			Sequence: item.Sequence,
			Share:    item.Wanted,
			Duration: share.MaxLoanDuration,
		})
	}
	return lend
}

func BenchmarkReceiveAsk(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("hosts-%d/teams-%d", size.hosts, size.teams), func(b *testing.B) {
			h, clock, a := joined(size.hosts, size.teams)
			limits := teamLimits(size.teams)
			sequence := uint64(0)
			for b.Loop() {
				*clock = clock.Add(time.Millisecond)
				h.ApplyAllocation(a, h.Timestamp())
				sequence++
				h.Receive(share.LoanRequest{
					From: a.Members[1+sequence%uint64(size.hosts-1)],
					To:   a.Members[0],
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

// BenchmarkAdopt is the work of one new epoch and the memory that a host holds.
func BenchmarkAdopt(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("hosts-%d/teams-%d", size.hosts, size.teams), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			h, clock, a := joined(size.hosts, size.teams)
			runtime.GC()
			runtime.ReadMemStats(&after)
			value, _ := a.Encode()
			for b.Loop() {
				*clock = clock.Add(time.Second)
				a.Epoch++
				h.ApplyAllocation(a, h.Timestamp())
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "state-B")
			b.ReportMetric(float64(len(value)), "allocation-B")
		})
	}
}
