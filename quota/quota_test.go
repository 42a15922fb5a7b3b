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

// The bound that the users state: within a window, the rate and the burst, a tenth
// more, and a few requests.
const (
	window    = 5 * time.Second
	overshoot = 1.1
	slack     = 20
)

// fleet is hosts that divide one team's rate among them. Reports reach the others
// after a while, unless a host is cut off.
type fleet struct {
	now   time.Time
	team  routing.Team
	books []*quota.Limiter
	// reports holds what each host last told the others.
	reports []quota.Report
	cut     []bool
	// passed holds when requests passed.
	passed  []time.Time
	refused int
	// lenders is how many others a host without a token asks.
	lenders int
}

const (
	tick         = 10 * time.Millisecond
	reportPeriod = 500 * time.Millisecond
)

func newFleet(hosts int, team routing.Team) *fleet {
	f := &fleet{
		now:     time.Unix(1000, 0),
		team:    team,
		reports: make([]quota.Report, hosts),
		cut:     make([]bool, hosts),
	}
	for range hosts {
		f.books = append(f.books, f.newBook())
	}
	f.exchange()
	return f
}

func (f *fleet) newBook() *quota.Limiter {
	b := &quota.Limiter{
		OvershootFraction: overshoot - 1,
		OvershootRequests: slack,
		Clock:             func() time.Time { return f.now },
	}
	b.SetTeams([]routing.Team{f.team})
	return b
}

// setTeam changes the team everywhere.
func (f *fleet) setTeam(team routing.Team) {
	f.team = team
	for _, b := range f.books {
		b.SetTeams([]routing.Team{team})
	}
}

// run plays the span. Demand is what each host is asked for per second.
func (f *fleet) run(random *rand.Rand, span time.Duration, demand []float64) {
	for range int(span / tick) {
		f.now = f.now.Add(tick)
		for i, b := range f.books {
			if random.Float64() < demand[i]*tick.Seconds() {
				f.ask(b)
			}
		}
		if f.now.UnixNano()%int64(reportPeriod) == 0 {
			f.exchange()
		}
	}
}

func (f *fleet) ask(b *quota.Limiter) {
	wait, passed := b.TakeToken(f.team.Name)
	if passed || f.borrow(b) {
		f.passed = append(f.passed, f.now)
		return
	}
	f.refused++
	if wait <= 0 {
		panic("no time to wait")
	}
}

// borrow asks some other hosts for a token, from this one's place on.
func (f *fleet) borrow(b *quota.Limiter) bool {
	if f.lenders == 0 || !b.ShouldBorrow(f.team.Name) {
		return false
	}
	at := slices.Index(f.books, b)
	for n := range f.lenders {
		if f.books[(at+1+n)%len(f.books)].LendToken(f.team.Name) {
			return true
		}
	}
	return false
}

// exchange carries reports between the hosts that are not cut off.
func (f *fleet) exchange() {
	for i, b := range f.books {
		if !f.cut[i] {
			f.reports[i] = quota.Report{
				Demand: b.Demand(),
				Shares: b.Shares(),
			}
		}
	}
	for i, b := range f.books {
		var others []quota.Report
		for j, report := range f.reports {
			report.Live = !f.cut[i] && !f.cut[j]
			if j != i {
				others = append(others, report)
			}
		}
		b.UpdateShares(others)
	}
}

// most returns the largest number of requests that passed within any window.
func (f *fleet) most(since time.Time) int {
	most, from := 0, 0
	for i, at := range f.passed {
		for f.passed[from].Before(at.Add(-window)) || f.passed[from].Before(since) && from < i {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

func (f *fleet) allowed() float64 {
	return (f.team.Rate*window.Seconds()+f.team.Burst)*overshoot + slack
}

var team = routing.Team{
	Name:  "north",
	Rate:  40,
	Burst: 40,
}

// even is a demand spread evenly over so many hosts.
func even(hosts int, total float64) []float64 {
	demand := make([]float64, hosts)
	for i := range demand {
		demand[i] = total / float64(hosts)
	}
	return demand
}

func TestATeamWithinItsRateIsNotRefused(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	f := newFleet(7, team)
	f.run(random, 3*time.Second, even(7, 25))
	f.refused = 0
	f.run(random, 30*time.Second, even(7, 25))
	require.LessOrEqual(t, f.refused, 8, "of 750")
}

// TestATeamThatAsksForTooMuchGetsItsRate replays a team at eight times its rate whose
// callers move from host to host.
func TestATeamThatAsksForTooMuchGetsItsRate(t *testing.T) {
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 2))
		f := newFleet(7, team)
		f.run(random, 5*time.Second, even(7, 25))
		for range 10 {
			demand := make([]float64, 7)
			demand[random.IntN(7)] = 160
			demand[random.IntN(7)] += 160
			f.run(random, 2*time.Second, demand)
		}
		require.LessOrEqual(t, float64(f.most(time.Time{})), f.allowed(), "seed %d", seed)
		require.Greater(t, len(f.passed), 25*5+20*40*6/10, "seed %d: most of the rate is used", seed)
	}
}

// TestALowerRateBindsAtOnce replays a rate that falls far below what is asked.
func TestALowerRateBindsAtOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 2))
	f := newFleet(7, team)
	f.run(random, 10*time.Second, even(7, 38))
	f.setTeam(routing.Team{
		Name:  "north",
		Rate:  8,
		Burst: 8,
	})
	lowered := f.now
	f.run(random, 20*time.Second, even(7, 38))
	require.LessOrEqual(t, float64(f.most(lowered)), f.allowed())
}

// TestHostsThatAreCutOffKeepTheirPart replays a cut: each side asks for all.
func TestHostsThatAreCutOffKeepTheirPart(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 2))
	f := newFleet(7, team)
	f.run(random, 5*time.Second, even(7, 100))
	f.cut[0], f.cut[1] = true, true
	f.run(random, 10*time.Second, even(7, 300))
	f.cut[0], f.cut[1] = false, false
	f.run(random, 5*time.Second, even(7, 100))
	require.LessOrEqual(t, float64(f.most(time.Time{})), f.allowed())
}

// TestRestartsBringNoSecondBurst replays all hosts that start again while callers
// press.
func TestRestartsBringNoSecondBurst(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 2))
	f := newFleet(7, team)
	f.run(random, 5*time.Second, even(7, 200))
	for i := range f.books {
		f.books[i] = f.newBook()
	}
	f.exchange()
	f.run(random, 5*time.Second, even(7, 200))
	require.LessOrEqual(t, float64(f.most(time.Time{})), f.allowed())
}

func TestATeamWithoutARateIsNotBounded(t *testing.T) {
	f := newFleet(1, routing.Team{
		Name: "north",
	})
	for range 1000 {
		f.ask(f.books[0])
	}
	require.Zero(t, f.refused)
	_, ok := f.books[0].TakeToken("nobody")
	require.True(t, ok)
}

func TestATokenThatIsGivenBackPassesAnother(t *testing.T) {
	f := newFleet(1, team)
	f.now = f.now.Add(time.Minute)
	for f.refused == 0 {
		f.ask(f.books[0])
	}
	f.books[0].ReturnToken("north")
	f.ask(f.books[0])
	require.Equal(t, 1, f.refused)
	f.ask(f.books[0])
	require.Equal(t, 2, f.refused)
}

// TestNothingPassesBeforeTheOthersAreKnown answers hosts that all start at once: each
// would take the whole rate for its own.
func TestNothingPassesBeforeTheOthersAreKnown(t *testing.T) {
	b := &quota.Limiter{}
	b.SetTeams([]routing.Team{team})
	_, ok := b.TakeToken("north")
	require.False(t, ok)
}
