package ticket_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"trefoilline.example/trefoilline/ticket"
)

// The settings of the randomized tests. The fixed seed makes every run draw the
// same values.
const (
	rapidSeed  = "1"
	rapidSteps = "300"
)

func init() {
	for name, value := range map[string]string{
		"rapid.seed":  rapidSeed,
		"rapid.steps": rapidSteps,
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// The number of hosts in the fleet and the limit of each registry.
const (
	hostCount  = 3
	maxTickets = 2
)

// fleet is a group of hosts with the registry of the current incarnation of each.
type fleet struct {
	now        time.Time
	registries []*ticket.Registry
	// incarnations is the number of processes started so far.
	incarnations int
	// admissions counts the admissions per ticket and team, without those that
	// ended in "not run".
	admissions map[string]int
	running    []admission
	tickets    []issuedTicket
	refusals   int
	// fullRefusals counts the refusals because a registry was full.
	fullRefusals int
	violations   int
}

type issuedTicket struct {
	text, team string
}

type admission struct {
	key string
	*ticket.AdmittedByTicket
}

func newFleet() *fleet {
	f := &fleet{
		now:        time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		registries: make([]*ticket.Registry, hostCount),
		admissions: make(map[string]int),
	}
	for i := range f.registries {
		f.restart(i)
	}
	return f
}

// restart replaces the process on a host. The new one has none of the old one's
// state.
func (f *fleet) restart(i int) {
	f.incarnations++
	r := &ticket.Registry{
		Host:        netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:8000", i+1)),
		Incarnation: ticket.Incarnation(f.incarnations),
		Validity:    10 * time.Second,
		RetryWindow: 50 * time.Second,
		MaxTickets:  maxTickets,
		Clock:       func() time.Time { return f.now },
		OnViolation: func(ticket.Violation) { f.violations++ },
	}
	r.Secret[0] = byte(f.incarnations)
	f.registries[i] = r
}

func (f *fleet) issue(i int, team string) {
	tickets := f.registries[i].Issue(team, 2)
	for number := range tickets.Count {
		f.tickets = append(f.tickets, issuedTicket{
			text: tickets.Ticket(number),
			team: team,
		})
	}
}

// send sends a request with a ticket to a host, which forwards it to the ticket's
// issuer if that is another host.
func (f *fleet) send(t require.TestingT, i int, text, team string) ticket.Decision {
	parsed, err := ticket.Parse(text)
	require.NoError(t, err)
	decision := f.registries[i].Admit(parsed, team)
	for _, r := range f.registries {
		if elsewhere, isElsewhere := decision.(ticket.IssuedElsewhere); isElsewhere && r.Host == elsewhere.Host {
			decision = r.Admit(parsed, team)
		}
	}
	key := text + team
	switch d := decision.(type) {
	case *ticket.AdmittedByTicket:
		f.admissions[key]++
		require.Equal(t, 1, f.admissions[key], "admitted twice: %s", key)
		f.running = append(f.running, admission{
			key:              key,
			AdmittedByTicket: d,
		})
	case ticket.Rejected:
		f.refusals++
		if d.Reason == ticket.RegistryFull {
			f.fullRefusals++
		}
		// A refusal promises that no request ran with the ticket.
		require.Zero(t, f.admissions[key], "refused after it was admitted: %s", key)
	}
	return decision
}

func (f *fleet) recordResult(i int, result ticket.Result) {
	a := f.running[i]
	f.running = append(f.running[:i], f.running[i+1:]...)
	a.RecordResult(result)
	if result == ticket.NotRun {
		f.admissions[a.key]--
	}
}

// TestTicketsAreAdmittedOnceAcrossRestarts runs random steps on hosts that
// restart, and fails if a ticket is admitted twice, admitted for another team, or
// refused after it was admitted, or if a registry exceeds its limit.
func TestTicketsAreAdmittedOnceAcrossRestarts(t *testing.T) {
	sends, refusals, fullRefusals := 0, 0, 0
	rapid.Check(t, func(r *rapid.T) {
		f := newFleet()
		host := rapid.IntRange(0, hostCount-1)
		team := rapid.SampledFrom([]string{"", "escuela"})
		r.Repeat(map[string]func(*rapid.T){
			"issue":   func(r *rapid.T) { f.issue(host.Draw(r, "host"), team.Draw(r, "team")) },
			"restart": func(r *rapid.T) { f.restart(host.Draw(r, "host")) },
			"wait": func(r *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(r, "seconds")) * time.Second)
			},
			"send": func(r *rapid.T) {
				if len(f.tickets) == 0 {
					r.Skip("no tickets")
				}
				issued := rapid.SampledFrom(f.tickets).Draw(r, "ticket")
				f.send(r, host.Draw(r, "host"), issued.text, issued.team)
				sends++
			},
			"try-other-team": func(r *rapid.T) {
				if len(f.tickets) == 0 {
					r.Skip("no tickets")
				}
				issued := rapid.SampledFrom(f.tickets).Draw(r, "ticket")
				if issued.team == "" {
					r.Skip("any caller may use it")
				}
				_, isAdmitted := f.send(r, host.Draw(r, "host"), issued.text, "other-team").(*ticket.AdmittedByTicket)
				require.False(r, isAdmitted)
			},
			"set-result": func(r *rapid.T) {
				if len(f.running) == 0 {
					r.Skip("no request is running")
				}
				result := rapid.SampledFrom([]ticket.Result{ticket.Unknown, ticket.Responded, ticket.NotRun}).Draw(r, "result")
				f.recordResult(rapid.IntRange(0, len(f.running)-1).Draw(r, "which"), result)
			},
			"": func(r *rapid.T) {
				require.Zero(r, f.violations)
				for _, registry := range f.registries {
					require.LessOrEqual(r, registry.Len(), maxTickets)
				}
			},
		})
		refusals += f.refusals
		fullRefusals += f.fullRefusals
	})
	t.Logf("%d sends, %d refusals, %d of them by a full registry", sends, refusals, fullRefusals)
	require.Positive(t, fullRefusals)
}

func TestDuplicateGetsResultOfEarlierRequest(t *testing.T) {
	f := newFleet()
	f.issue(0, "escuela")
	text := f.tickets[0].text
	require.Equal(t, ticket.Rejected{
		Reason: ticket.NotIssued,
	}, f.send(t, 1, text, "another team"))
	require.IsType(t, &ticket.AdmittedByTicket{}, f.send(t, 1, text, "escuela"))
	require.Equal(t, ticket.Duplicate{
		Result: ticket.Running,
	}, f.send(t, 2, text, "escuela"))
	f.recordResult(0, ticket.NotRun)
	require.Zero(t, f.registries[0].Len(), "a ticket whose request did not run must not be remembered")
	require.IsType(t, &ticket.AdmittedByTicket{}, f.send(t, 2, text, "escuela"))
	f.recordResult(0, ticket.Responded)
	require.Equal(t, ticket.Duplicate{
		Result: ticket.Responded,
	}, f.send(t, 0, text, "escuela"))
	f.now = f.now.Add(time.Hour)
	require.Equal(t, ticket.Expired{}, f.send(t, 0, text, "escuela"))
	require.Zero(t, f.registries[0].Len())
	f.restart(0)
	require.Equal(t, ticket.IssuerGone{}, f.send(t, 1, text, "escuela"))
}

func TestContradictoryResultsAreAViolation(t *testing.T) {
	f := newFleet()
	f.issue(0, "")
	admitted, isAdmitted := f.send(t, 0, f.tickets[0].text, "").(*ticket.AdmittedByTicket)
	require.True(t, isAdmitted)
	admitted.RecordResult(ticket.NotRun)
	admitted.RecordResult(ticket.Responded)
	require.Equal(t, 1, f.violations)
}

func TestRegistryWithDefaultSettings(t *testing.T) {
	var r ticket.Registry
	r.Host = netip.MustParseAddrPort("[2001:db8::1]:8000")
	encoded, err := json.Marshal(r.Issue("", 3))
	require.NoError(t, err)
	var tickets ticket.Range
	require.NoError(t, json.Unmarshal(encoded, &tickets))
	last, err := ticket.Parse(tickets.Ticket(2))
	require.NoError(t, err)
	authCode := strings.Split(tickets.Ticket(2), "/")[5]
	require.NotContains(t, last.ID(), authCode)
	require.IsType(t, &ticket.AdmittedByTicket{}, r.Admit(last, ""))
	beyondRange, err := ticket.Parse(tickets.Ticket(3))
	require.NoError(t, err)
	require.IsType(t, ticket.Rejected{}, r.Admit(beyondRange, ""))
}

// FuzzParse checks that a text that parses is the text form of its ticket, and
// that any parsed ticket can be passed to Admit.
func FuzzParse(f *testing.F) {
	r := ticket.Registry{
		Host: netip.MustParseAddrPort("10.0.0.1:8000"),
	}
	f.Add(r.Issue("", 64).Ticket(7))
	f.Add("10.0.0.1:8000/1f/1/300/64/AAAAAAAAAAAAAAAAAAAAAA/07")
	f.Add("//////")
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := ticket.Parse(text)
		if err != nil {
			var syntax *ticket.SyntaxError
			require.ErrorAs(t, err, &syntax)
			return
		}
		require.Equal(t, text, parsed.String())
		require.NotPanics(t, func() { r.Admit(parsed, "") })
	})
}
