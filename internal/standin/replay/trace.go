package replay

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"time"
)

// maxLine bounds one line of a trace, in bytes.
const maxLine = 64 << 10

// Trace is what was recorded and what is stated of it.
type Trace struct {
	Teams        []Team
	Expectations []Expectation
	played       []event
}

// Team is a team with its rate and burst, in requests per second and requests.
type Team struct {
	Name  string
	Rate  float64
	Burst float64
}

// Expectation states the outcome for a team.
type Expectation struct {
	Team string
	// MaxRefusedShare is the largest part of the requests that may be refused.
	MaxRefusedShare float64
}

// event is what happens at a time of the trace.
type event interface {
	at() time.Duration
	play(w *world)
}

// moment is a time since the beginning of the trace.
type moment struct{ time time.Duration }

func (m moment) at() time.Duration { return m.time }

// offer is a request of a team to a host.
type offer struct {
	moment
	team string
	host string
}

// loss is the end of a host.
type loss struct {
	moment
	host string
}

// outage begins or ends an outage of the store.
type outage struct {
	moment
	down bool
}

func (o offer) play(w *world) {
	h := w.find(o.host)
	w.report.offered(o.team)
	if h.lost {
		w.report.refused(o.team)
		return
	}
	if w.take(h, o.team) {
		w.report.granted(o.team)
		return
	}
	w.waiting = append(w.waiting, waiter{
		host:  h,
		team:  o.team,
		until: w.now.Add(wait),
	})
}

func (l loss) play(w *world) {
	w.find(l.host).lost = true
	w.setLive()
}

func (o outage) play(w *world) { w.storeFaults(o.down) }

// events returns what happens, in order of time.
func (t *Trace) events() []event {
	ordered := slices.Clone(t.played)
	slices.SortStableFunc(ordered, func(a, b event) int { return int(a.at() - b.at()) })
	return ordered
}

// hosts returns the names of the hosts that the trace names.
func (t *Trace) hosts() []string {
	var names []string
	for _, e := range t.played {
		switch e := e.(type) {
		case offer:
			names = append(names, e.host)
		case loss:
			names = append(names, e.host)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// line is one line of the file.
type line struct {
	Kind  string  `json:"kind"`
	At    string  `json:"at,omitempty"`
	Team  string  `json:"team,omitempty"`
	Host  string  `json:"host,omitempty"`
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
	// MaxRefusedShare is a part from 0 to 1.
	RefusedAtMost float64 `json:"refused-at-most,omitempty"`
}

// ReadTrace reads a trace. Every fault is a [LineError].
func ReadTrace(r io.Reader) (*Trace, error) {
	trace := &Trace{}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for number := 1; scanner.Scan(); number++ {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		if err := trace.add(number, scanner.Bytes()); err != nil {
			return nil, err
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, &LineError{
			Accepted: "lines of up to 64 KB",
			Cause:    err,
		}
	}
	return trace, trace.check()
}

func (t *Trace) add(number int, text []byte) error {
	var l line
	if err := json.Unmarshal(text, &l); err != nil {
		return &LineError{
			Line:     number,
			Accepted: "a JSON object",
			Cause:    err,
		}
	}
	var since time.Duration
	if l.At != "" {
		parsed, err := time.ParseDuration(l.At)
		if err != nil || parsed < 0 {
			return &LineError{
				Line:     number,
				Value:    l.At,
				Accepted: `a time since the beginning, such as "1.5s"`,
			}
		}
		since = parsed
	}
	return t.take(number, l, moment{
		time: since,
	})
}

func (t *Trace) take(number int, l line, m moment) error {
	switch l.Kind {
	case "team":
		t.Teams = append(t.Teams, Team{
			Name:  l.Team,
			Rate:  l.Rate,
			Burst: l.Burst,
		})
	case "expect":
		t.Expectations = append(t.Expectations, Expectation{
			Team:            l.Team,
			MaxRefusedShare: l.RefusedAtMost,
		})
	case "request":
		t.played = append(t.played, offer{
			moment: m,
			team:   l.Team,
			host:   l.Host,
		})
	case "lose-host":
		t.played = append(t.played, loss{
			moment: m,
			host:   l.Host,
		})
	case "store-down", "store-up":
		t.played = append(t.played, outage{
			moment: m,
			down:   l.Kind == "store-down",
		})
	default:
		return &LineError{
			Line:     number,
			Value:    l.Kind,
			Accepted: "team, expect, request, lose-host, store-down or store-up",
		}
	}
	return nil
}

// check wants each team that is named to have a rate, and each request a host.
func (t *Trace) check() error {
	known := func(name string) bool {
		return slices.ContainsFunc(t.Teams, func(team Team) bool { return team.Name == name && team.Rate > 0 })
	}
	for _, e := range t.played {
		o, isOffer := e.(offer)
		if isOffer && (!known(o.team) || o.host == "") {
			return &LineError{
				Value:    o.team,
				Accepted: "a request names a host and a team that has a line with its rate",
			}
		}
	}
	for _, e := range t.Expectations {
		if !known(e.Team) {
			return &LineError{
				Value:    e.Team,
				Accepted: "an expectation names a team that has a line with its rate",
			}
		}
	}
	return nil
}
