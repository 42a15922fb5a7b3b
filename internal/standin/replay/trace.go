package replay

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"time"
)

// maxLineBytes is the largest length of one line of a trace.
const maxLineBytes = 64 << 10

// Trace is a recorded trace: teams, their expected outcomes, and events.
type Trace struct {
	Teams        []Team
	Expectations []Expectation
	events       []event
}

// Team is a team with its rate, in requests per second, and its burst, in
// requests.
type Team struct {
	Name  string
	Rate  float64
	Burst float64
}

// Expectation is the expected outcome for a team.
type Expectation struct {
	Team string
	// MaxRejectedShare is the largest accepted share of refused requests, from 0
	// to 1.
	MaxRejectedShare float64
}

// event is something that happens at an offset from the start of the trace.
type event interface {
	offset() time.Duration
	apply(s *simulation)
}

// eventTime is the offset of an event from the start of the trace.
type eventTime struct{ sinceStart time.Duration }

func (e eventTime) offset() time.Duration { return e.sinceStart }

// requestEvent is a request that a team sends to an entry host.
type requestEvent struct {
	eventTime
	team string
	host string
}

// hostFailureEvent is the permanent failure of a host.
type hostFailureEvent struct {
	eventTime
	host string
}

// storeOutageEvent is the start or the end of an outage of the store.
type storeOutageEvent struct {
	eventTime
	down bool
}

func (e requestEvent) apply(s *simulation) {
	h := s.findHost(e.host)
	s.report.countOffered(e.team)
	if h.isFailed {
		s.report.countRefused(e.team)
		return
	}
	if s.acquire(h, e.team) {
		s.report.countGranted(e.team)
		return
	}
	s.waitingRequests = append(s.waitingRequests, waitingRequest{
		host:     h,
		team:     e.team,
		deadline: s.now.Add(maxTokenWait),
	})
}

func (e hostFailureEvent) apply(s *simulation) {
	s.findHost(e.host).isFailed = true
	s.updateLiveHosts()
}

func (e storeOutageEvent) apply(s *simulation) { s.setStoreDown(e.down) }

// sortedEvents returns the events in order of time.
func (t *Trace) sortedEvents() []event {
	ordered := slices.Clone(t.events)
	slices.SortStableFunc(ordered, func(a, b event) int { return int(a.offset() - b.offset()) })
	return ordered
}

// hostNames returns the names of the hosts that the trace names.
func (t *Trace) hostNames() []string {
	var names []string
	for _, e := range t.events {
		switch e := e.(type) {
		case requestEvent:
			names = append(names, e.host)
		case hostFailureEvent:
			names = append(names, e.host)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// traceLine is one line of the file.
type traceLine struct {
	Kind  string  `json:"kind"`
	At    string  `json:"at,omitempty"`
	Team  string  `json:"team,omitempty"`
	Host  string  `json:"host,omitempty"`
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
	// RefusedAtMost is a share from 0 to 1.
	RefusedAtMost float64 `json:"refused-at-most,omitempty"`
}

// ReadTrace reads a trace. Its errors are of type [LineError].
func ReadTrace(r io.Reader) (*Trace, error) {
	trace := &Trace{}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		if err := trace.parseLine(number, scanner.Bytes()); err != nil {
			return nil, err
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, &LineError{
			Accepted: "lines of up to 64 KB",
			Cause:    err,
		}
	}
	return trace, trace.validate()
}

func (t *Trace) parseLine(number int, text []byte) error {
	var l traceLine
	if err := json.Unmarshal(text, &l); err != nil {
		return &LineError{
			Line:     number,
			Accepted: "a JSON object",
			Cause:    err,
		}
	}
	var offset time.Duration
	if l.At != "" {
		parsed, err := time.ParseDuration(l.At)
		if err != nil || parsed < 0 {
			return &LineError{
				Line:     number,
				Value:    l.At,
				Accepted: `a time since the start of the trace, such as "1.5s"`,
			}
		}
		offset = parsed
	}
	return t.addLine(number, l, eventTime{
		sinceStart: offset,
	})
}

func (t *Trace) addLine(number int, l traceLine, at eventTime) error {
	switch l.Kind {
	case "team":
		t.Teams = append(t.Teams, Team{
			Name:  l.Team,
			Rate:  l.Rate,
			Burst: l.Burst,
		})
	case "expect":
		t.Expectations = append(t.Expectations, Expectation{
			Team:             l.Team,
			MaxRejectedShare: l.RefusedAtMost,
		})
	case "request":
		t.events = append(t.events, requestEvent{
			eventTime: at,
			team:      l.Team,
			host:      l.Host,
		})
	case "lose-host":
		t.events = append(t.events, hostFailureEvent{
			eventTime: at,
			host:      l.Host,
		})
	case "store-down", "store-up":
		t.events = append(t.events, storeOutageEvent{
			eventTime: at,
			down:      l.Kind == "store-down",
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

// validate returns a [LineError] if a request names no host, or if a request or
// an expectation names a team without a rate.
func (t *Trace) validate() error {
	hasRate := func(name string) bool {
		return slices.ContainsFunc(t.Teams, func(team Team) bool { return team.Name == name && team.Rate > 0 })
	}
	for _, e := range t.events {
		request, isRequest := e.(requestEvent)
		if isRequest && (!hasRate(request.team) || request.host == "") {
			return &LineError{
				Value:    request.team,
				Accepted: "a request with a host, and a team that has a line with its rate",
			}
		}
	}
	for _, e := range t.Expectations {
		if !hasRate(e.Team) {
			return &LineError{
				Value:    e.Team,
				Accepted: "an expectation for a team that has a line with its rate",
			}
		}
	}
	return nil
}
