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

// The settings of the randomised runs: every run draws the same.
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

// The size of the fleet, and of each register, in names.
const (
	hostCount = 3
	nameLimit = 2
)

// fleet is a few hosts with the incarnation that runs on each.
type fleet struct {
	now       time.Time
	registers []*ticket.Registry
	started   int
	// admissions counts, for each name and holder, those that did not end in "not run".
	admissions map[string]int
	open       []admission
	names      []issued
	rejected   int
	full       int
	violations int
}

type issued struct {
	text, holder string
}

type admission struct {
	name string
	*ticket.AdmittedByTicket
}

func newFleet() *fleet {
	f := &fleet{
		now:        time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		registers:  make([]*ticket.Registry, hostCount),
		admissions: make(map[string]int),
	}
	for i := range f.registers {
		f.restart(i)
	}
	return f
}

// restart replaces the process on a host; nothing of the old one is kept.
func (f *fleet) restart(i int) {
	f.started++
	r := &ticket.Registry{
		Host:        netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:8000", i+1)),
		Incarnation: ticket.Incarnation(f.started),
		Validity:    10 * time.Second,
		RetryWindow: 50 * time.Second,
		MaxTickets:  nameLimit,
		Clock:       func() time.Time { return f.now },
		OnViolation: func(ticket.Violation) { f.violations++ },
	}
	r.Secret[0] = byte(f.started)
	f.registers[i] = r
}

func (f *fleet) issue(i int, holder string) {
	names := f.registers[i].Issue(holder, 2)
	for number := range names.Count {
		f.names = append(f.names, issued{
			text:   names.Ticket(number),
			holder: holder,
		})
	}
}

// send brings a request to a host, which passes it on once if it must.
func (f *fleet) send(t require.TestingT, i int, text, holder string) ticket.Decision {
	name, err := ticket.Parse(text)
	require.NoError(t, err)
	decision := f.registers[i].Admit(name, holder)
	for _, r := range f.registers {
		if elsewhere, isElsewhere := decision.(ticket.IssuedElsewhere); isElsewhere && r.Host == elsewhere.Host {
			decision = r.Admit(name, holder)
		}
	}
	key := text + holder
	switch d := decision.(type) {
	case *ticket.AdmittedByTicket:
		f.admissions[key]++
		require.Equal(t, 1, f.admissions[key], "admitted twice: %s", key)
		f.open = append(f.open, admission{
			name:             key,
			AdmittedByTicket: d,
		})
	case ticket.Refused:
		f.rejected++
		if d.Reason == ticket.RegistryFull {
			f.full++
		}
		// A refusal says that nothing ran under the name.
		require.Zero(t, f.admissions[key], "refused though admitted: %s", key)
	}
	return decision
}

func (f *fleet) settle(k int, result ticket.Result) {
	a := f.open[k]
	f.open = append(f.open[:k], f.open[k+1:]...)
	a.RecordResult(result)
	if result == ticket.NotRun {
		f.admissions[a.name]--
	}
}

func TestNamesAreAdmittedOnceOverIncarnations(t *testing.T) {
	sends, rejected, full := 0, 0, 0
	rapid.Check(t, func(r *rapid.T) {
		f := newFleet()
		host := rapid.IntRange(0, hostCount-1)
		holder := rapid.SampledFrom([]string{"", "escuela"})
		r.Repeat(map[string]func(*rapid.T){
			"issue":   func(r *rapid.T) { f.issue(host.Draw(r, "host"), holder.Draw(r, "holder")) },
			"restart": func(r *rapid.T) { f.restart(host.Draw(r, "host")) },
			"wait": func(r *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(r, "seconds")) * time.Second)
			},
			"send": func(r *rapid.T) {
				if len(f.names) == 0 {
					r.Skip("no names")
				}
				name := rapid.SampledFrom(f.names).Draw(r, "name")
				f.send(r, host.Draw(r, "host"), name.text, name.holder)
				sends++
			},
			"steal": func(r *rapid.T) {
				if len(f.names) == 0 {
					r.Skip("no names")
				}
				name := rapid.SampledFrom(f.names).Draw(r, "name")
				if name.holder == "" {
					r.Skip("anyone's")
				}
				_, isAdmitted := f.send(r, host.Draw(r, "host"), name.text, "thief").(*ticket.AdmittedByTicket)
				require.False(r, isAdmitted)
			},
			"settle": func(r *rapid.T) {
				if len(f.open) == 0 {
					r.Skip("nothing runs")
				}
				result := rapid.SampledFrom([]ticket.Result{ticket.Unknown, ticket.Responded, ticket.NotRun}).Draw(r, "result")
				f.settle(rapid.IntRange(0, len(f.open)-1).Draw(r, "which"), result)
			},
			"": func(r *rapid.T) {
				require.Zero(r, f.violations)
				for _, register := range f.registers {
					require.LessOrEqual(r, register.Len(), nameLimit)
				}
			},
		})
		rejected += f.rejected
		full += f.full
	})
	t.Logf("%d sends, %d refusals, %d of them by a full register", sends, rejected, full)
	require.Positive(t, full)
}

func TestRepeatIsToldWhatCameOfIt(t *testing.T) {
	f := newFleet()
	f.issue(0, "escuela")
	name := f.names[0].text
	require.Equal(t, ticket.Refused{
		Reason: ticket.NotIssued,
	}, f.send(t, 1, name, "another team"))
	require.IsType(t, &ticket.AdmittedByTicket{}, f.send(t, 1, name, "escuela"))
	require.Equal(t, ticket.Duplicate{
		Result: ticket.Running,
	}, f.send(t, 2, name, "escuela"))
	f.settle(0, ticket.NotRun)
	require.Zero(t, f.registers[0].Len(), "what did not run takes no memory")
	require.IsType(t, &ticket.AdmittedByTicket{}, f.send(t, 2, name, "escuela"))
	f.settle(0, ticket.Responded)
	require.Equal(t, ticket.Duplicate{
		Result: ticket.Responded,
	}, f.send(t, 0, name, "escuela"))
	f.now = f.now.Add(time.Hour)
	require.Equal(t, ticket.Expired{}, f.send(t, 0, name, "escuela"))
	require.Zero(t, f.registers[0].Len())
	f.restart(0)
	require.Equal(t, ticket.IssuerGone{}, f.send(t, 1, name, "escuela"))
}

func TestContradictionIsAViolation(t *testing.T) {
	f := newFleet()
	f.issue(0, "")
	admitted, isAdmitted := f.send(t, 0, f.names[0].text, "").(*ticket.AdmittedByTicket)
	require.True(t, isAdmitted)
	admitted.RecordResult(ticket.NotRun)
	admitted.RecordResult(ticket.Responded)
	require.Equal(t, 1, f.violations)
}

func TestZeroRegisterWorks(t *testing.T) {
	var r ticket.Registry
	r.Host = netip.MustParseAddrPort("[2001:db8::1]:8000")
	encoded, err := json.Marshal(r.Issue("", 3))
	require.NoError(t, err)
	var names ticket.Range
	require.NoError(t, json.Unmarshal(encoded, &names))
	name, err := ticket.Parse(names.Ticket(2))
	require.NoError(t, err)
	code := strings.Split(names.Ticket(2), "/")[5]
	require.NotContains(t, name.ID(), code)
	require.IsType(t, &ticket.AdmittedByTicket{}, r.Admit(name, ""))
	beyond, err := ticket.Parse(names.Ticket(3))
	require.NoError(t, err)
	require.IsType(t, ticket.Refused{}, r.Admit(beyond, ""))
}

func FuzzParse(f *testing.F) {
	r := ticket.Registry{
		Host: netip.MustParseAddrPort("10.0.0.1:8000"),
	}
	f.Add(r.Issue("", 64).Ticket(7))
	f.Add("10.0.0.1:8000/1f/1/300/64/AAAAAAAAAAAAAAAAAAAAAA/07")
	f.Add("//////")
	f.Fuzz(func(t *testing.T, text string) {
		name, err := ticket.Parse(text)
		if err != nil {
			var syntax *ticket.SyntaxError
			require.ErrorAs(t, err, &syntax)
			return
		}
		require.Equal(t, text, name.String())
		require.NotPanics(t, func() { r.Admit(name, "") })
	})
}
