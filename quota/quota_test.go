package quota_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/quota"
	"trefoilline.example/trefoilline/routing"
)

// The parameters of the limit that the operators require; [fleet.limit] computes it.
const (
	window            = 5 * time.Second
	allowedOvershoot  = 1.1
	overshootRequests = 20
)

// fleet simulates hosts that share one team's rate. Their reports and loans reach each other at
// once, each report interval, except those from and to isolated hosts.
type fleet struct {
	now      time.Time
	team     routing.Team
	limiters []*quota.Limiter
	isolated []bool
	// known holds the members and holders, empty until they are first needed.
	known quota.Division
	// incarnations counts the processes of all hosts.
	incarnations uint64
	// restarted holds the limiters that are not the first of their hosts.
	restarted map[*quota.Limiter]bool
	// accepted holds the times of the accepted requests.
	accepted []time.Time
	rejected int
	// lenders is how many other hosts a host without a token asks for one.
	lenders int
	// hasOwners is true if a few hosts own the rate and the others borrow each token.
	hasOwners bool
}

const (
	tick           = 10 * time.Millisecond
	reportInterval = 500 * time.Millisecond
)

func newFleet(hosts int, team routing.Team) *fleet {
	f := &fleet{
		now:      time.Unix(1000, 0),
		team:     team,
		isolated: make([]bool, hosts),
	}
	for range hosts {
		f.limiters = append(f.limiters, f.newLimiter())
	}
	f.exchangeReports()
	return f
}

func (f *fleet) newLimiter() *quota.Limiter {
	f.incarnations++
	l := &quota.Limiter{
		OvershootFraction: allowedOvershoot - 1,
		OvershootRequests: overshootRequests,
		Incarnation:       f.incarnations,
		Clock:             func() time.Time { return f.now },
	}
	l.SetTeams([]routing.Team{f.team})
	return l
}

// setTeam changes the team on all hosts.
func (f *fleet) setTeam(team routing.Team) {
	f.team = team
	for _, l := range f.limiters {
		l.SetTeams([]routing.Team{team})
	}
}

// run simulates the duration. The demand is each host's requests per second.
func (f *fleet) run(random *rand.Rand, duration time.Duration, demand []float64) {
	for range int(duration / tick) {
		f.now = f.now.Add(tick)
		for i, l := range f.limiters {
			if random.Float64() < demand[i]*tick.Seconds() {
				f.sendRequest(l)
			}
		}
		if f.now.UnixNano()%int64(reportInterval) == 0 {
			f.exchangeReports()
		}
	}
}

// sendRequest sends one request of the team to a host and counts whether it is accepted.
func (f *fleet) sendRequest(l *quota.Limiter) {
	wait, ok := l.TakeToken(f.team.Name)
	if ok || f.borrow(l) {
		f.accepted = append(f.accepted, f.now)
		return
	}
	f.rejected++
	if wait <= 0 {
		panic("a rejected request must get a positive wait")
	}
}

// borrow asks the next hosts of the fleet for a token.
func (f *fleet) borrow(l *quota.Limiter) bool {
	if f.lenders == 0 || !shouldBorrow(l, f.team.Name) {
		return false
	}
	index := slices.Index(f.limiters, l)
	if f.hasOwners {
		return f.borrowFromOwners(index)
	}
	for n := range f.lenders {
		if canLend(f.limiters[(index+1+n)%len(f.limiters)], f.team.Name) {
			return true
		}
	}
	return false
}

// exchangeReports sends reports and loans between the hosts that are not isolated.
func (f *fleet) exchangeReports() {
	for i, l := range f.limiters {
		if f.hasOwners {
			l.SetOwnership(f.ownership(i))
		}
		l.SetDivision(f.division(i))
		var others []quota.Report
		for j, other := range f.limiters {
			if j != i {
				others = append(others, quota.Report{
					Demand: other.Demand(),
					Live:   !f.isolated[i] && !f.isolated[j],
				})
			}
		}
		l.SetReports(others)
	}
	for i := range f.limiters {
		for _, j := range f.holders() {
			if j != i && !f.isolated[i] && !f.isolated[j] && f.askForLoan(i, j) {
				f.askForLoan(i, j)
			}
		}
	}
}

// askForLoan lets a host ask another for a loan, and reports whether it should ask again at once.
func (f *fleet) askForLoan(from, to int) bool {
	request, isNeeded := f.limiters[from].RequestLoan(hostName(to))
	return isNeeded && f.limiters[from].ReceiveLoan(hostName(to), request, f.now, f.limiters[to].Lend(request))
}

// holders returns the hosts that hold a part of the rate.
func (f *fleet) holders() []int {
	var holders []int
	names := f.division(0).Holders
	for n := range f.limiters {
		if _, isHolder := slices.BinarySearch(names, hostName(n)); isHolder {
			holders = append(holders, n)
		}
	}
	return holders
}

// division returns the division of the rate that all hosts know.
func (f *fleet) division(host int) quota.Division {
	if len(f.known.Members) == 0 {
		members := make(map[string][]string)
		for n := range f.limiters {
			members[regionOf(n)] = append(members[regionOf(n)], hostName(n))
			f.known.Members = append(f.known.Members, hostName(n))
		}
		f.known.Holders = slices.Sorted(slices.Values(f.known.Members))
		if f.hasOwners {
			f.known.Holders = quota.SelectHolders(members)
		}
	}
	division := f.known
	division.Self = hostName(host)
	if slices.Contains(division.Holders, division.Self) {
		division.Part = 1 / float64(len(division.Holders))
	}
	division.IsRestart = f.restarted[f.limiters[host]]
	return division
}

// restart replaces the process of a host.
func (f *fleet) restart(host int) {
	f.limiters[host] = f.newLimiter()
	if f.restarted == nil {
		f.restarted = make(map[*quota.Limiter]bool)
	}
	f.restarted[f.limiters[host]] = true
}

// maxAcceptedPerWindow returns the largest number of requests accepted within any window
// that lies after the given time.
func (f *fleet) maxAcceptedPerWindow(since time.Time) int {
	most, first := 0, 0
	for i, at := range f.accepted {
		for f.accepted[first].Before(at.Add(-window)) || f.accepted[first].Before(since) && first < i {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// limit returns the number of requests that the team may send in a window.
func (f *fleet) limit() float64 {
	return (f.team.Rate*window.Seconds()+f.team.Burst)*allowedOvershoot + overshootRequests
}

var team = routing.Team{
	Name:  "north",
	Rate:  40,
	Burst: 40,
}

// spreadEvenly returns the demand of each host if the total is divided equally.
func spreadEvenly(hosts int, total float64) []float64 {
	demand := make([]float64, hosts)
	for i := range demand {
		demand[i] = total / float64(hosts)
	}
	return demand
}

func TestTeamWithinItsRateIsAccepted(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	f := newFleet(7, team)
	f.run(random, 3*time.Second, spreadEvenly(7, 25))
	f.rejected = 0
	f.run(random, 30*time.Second, spreadEvenly(7, 25))
	require.LessOrEqual(t, f.rejected, 8, "rejected requests, of about 750")
}

// TestTeamFarAboveItsRateIsLimitedToIt sends eight times the team's rate while callers move
// from host to host. The hosts' shares must follow the callers without the total
// exceeding the limit.
func TestTeamFarAboveItsRateIsLimitedToIt(t *testing.T) {
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 2))
		f := newFleet(7, team)
		f.run(random, 5*time.Second, spreadEvenly(7, 25))
		for range 10 {
			demand := make([]float64, 7)
			demand[random.IntN(7)] = 160
			demand[random.IntN(7)] += 160
			f.run(random, 2*time.Second, demand)
		}
		require.LessOrEqual(t, float64(f.maxAcceptedPerWindow(time.Time{})), f.limit(), "seed %d", seed)
		require.Greater(t, len(f.accepted), 25*5+20*40*6/10, "seed %d: at least 60%% of the rate must be used", seed)
	}
}

// TestLowerRateTakesEffectAtOnce lowers the rate far below the demand. Tokens saved at
// the higher rate must not let more requests pass.
func TestLowerRateTakesEffectAtOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 2))
	f := newFleet(7, team)
	f.run(random, 10*time.Second, spreadEvenly(7, 38))
	f.setTeam(routing.Team{
		Name:  "north",
		Rate:  8,
		Burst: 8,
	})
	lowered := f.now
	f.run(random, 20*time.Second, spreadEvenly(7, 38))
	require.LessOrEqual(t, float64(f.maxAcceptedPerWindow(lowered)), f.limit())
}

// TestIsolatedHostsKeepTheirShares isolates two of seven hosts under high demand. If either
// side took the whole rate, the total would exceed the limit.
func TestIsolatedHostsKeepTheirShares(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 2))
	f := newFleet(7, team)
	f.run(random, 5*time.Second, spreadEvenly(7, 100))
	f.isolated[0], f.isolated[1] = true, true
	f.run(random, 10*time.Second, spreadEvenly(7, 300))
	f.isolated[0], f.isolated[1] = false, false
	f.run(random, 5*time.Second, spreadEvenly(7, 100))
	require.LessOrEqual(t, float64(f.maxAcceptedPerWindow(time.Time{})), f.limit())
}

// TestRestartsGrantNoSecondBurst restarts all hosts under high demand. Buckets that started
// full would let a second burst pass.
func TestRestartsGrantNoSecondBurst(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 2))
	f := newFleet(7, team)
	f.run(random, 5*time.Second, spreadEvenly(7, 200))
	for i := range f.limiters {
		f.restart(i)
	}
	f.exchangeReports()
	f.run(random, 5*time.Second, spreadEvenly(7, 200))
	require.LessOrEqual(t, float64(f.maxAcceptedPerWindow(time.Time{})), f.limit())
}

func TestTeamWithoutRateIsNotLimited(t *testing.T) {
	f := newFleet(1, routing.Team{
		Name: "north",
	})
	for range 1000 {
		f.sendRequest(f.limiters[0])
	}
	require.Zero(t, f.rejected)
	_, ok := f.limiters[0].TakeToken("nobody")
	require.True(t, ok)
}

func TestReturnedTokenAdmitsAnotherRequest(t *testing.T) {
	f := newFleet(1, team)
	f.now = f.now.Add(time.Minute)
	for f.rejected == 0 {
		f.sendRequest(f.limiters[0])
	}
	f.limiters[0].ReturnToken("north")
	f.sendRequest(f.limiters[0])
	require.Equal(t, 1, f.rejected)
	f.sendRequest(f.limiters[0])
	require.Equal(t, 2, f.rejected)
}

// TestRequestsAreRejectedBeforeFirstReports guards against hosts that all start at once and
// each take the whole rate, since they don't know of each other yet.
func TestRequestsAreRejectedBeforeFirstReports(t *testing.T) {
	l := &quota.Limiter{}
	l.SetTeams([]routing.Team{team})
	_, ok := l.TakeToken("north")
	require.False(t, ok)
}
