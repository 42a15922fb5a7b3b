package experiment

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"
)

// Limits of a plan, so that a mistyped number cannot overload the machine.
const (
	maxDuration       = 30 * time.Minute
	maxTimeout        = time.Minute
	maxInFlight       = 10_000
	maxArrivals       = 1_000_000
	maxCallersPerTeam = 1_000
)

// validator collects the problems of a plan.
type validator struct {
	problems []*FieldError
}

func (v *validator) require(valid bool, field string, value any, accepted string) {
	if valid {
		return
	}
	v.problems = append(v.problems, &FieldError{
		Field:    field,
		Value:    fmt.Sprint(value),
		Accepted: accepted,
	})
}

// Validate returns an [InvalidPlanError] with all problems of the plan, or nil.
func (p *Plan) Validate() error {
	var v validator
	v.validateRun(p)
	v.validateEntryHosts(p)
	v.validateTeams(p)
	v.validateRequests(p)
	v.validateFaults(p)
	if len(v.problems) == 0 {
		return nil
	}
	return &InvalidPlanError{
		Problems: v.problems,
	}
}

func (v *validator) validateRun(p *Plan) {
	duration := time.Duration(p.Duration)
	timeout := time.Duration(p.Timeout)
	v.require(duration >= time.Second && duration <= maxDuration, "length", duration, fmt.Sprintf("1s to %v", maxDuration))
	v.require(timeout > 0 && timeout <= maxTimeout, "timeout", timeout, fmt.Sprintf("above 0s, to %v", maxTimeout))
	v.require(p.MaxInFlight >= 1 && p.MaxInFlight <= maxInFlight, "max-open", p.MaxInFlight, fmt.Sprintf("1 to %d", maxInFlight))
	total := p.expectedArrivals()
	v.require(total <= maxArrivals, "teams.rate", total, fmt.Sprintf("at most %d requests in the run", maxArrivals))
}

// expectedArrivals returns an upper bound on the mean number of requests of the
// run: each team is counted at its highest rate for the whole run.
func (p *Plan) expectedArrivals() float64 {
	total := 0.0
	for _, t := range p.Teams {
		factor := 1.0
		if t.Surge != nil {
			factor = max(factor, t.Surge.RateFactor)
		}
		total += t.Rate * factor * time.Duration(p.Duration).Seconds()
	}
	return total
}

func (v *validator) validateEntryHosts(p *Plan) {
	v.require(len(p.EntryHosts) > 0, "entries", "", "at least one IP address with a port")
	for i, e := range p.EntryHosts {
		address, err := netip.ParseAddrPort(e)
		field := fmt.Sprintf("entries[%d]", i)
		v.require(err == nil && address.Addr().IsLoopback(), field, e, "a loopback IP address with a port")
	}
}

func (v *validator) validateTeams(p *Plan) {
	v.require(len(p.Teams) > 0, "teams", "", "at least one team")
	seen := make(map[string]bool)
	for i, t := range p.Teams {
		prefix := fmt.Sprintf("teams[%d].", i)
		v.require(t.Name != "" && !seen[t.Name], prefix+"name", t.Name, "a name that no other team has")
		seen[t.Name] = true
		v.require(t.Rate > 0, prefix+"rate", t.Rate, "requests per second, above 0")
		v.require(t.AllowedRate > 0, prefix+"allowed-rate", t.AllowedRate, "requests per second, above 0")
		v.require(t.CallerCount >= 1 && t.CallerCount <= maxCallersPerTeam, prefix+"skew", t.CallerCount, fmt.Sprintf("1 to %d callers", maxCallersPerTeam))
		if t.Surge == nil {
			continue
		}
		start := time.Duration(t.Surge.Start)
		v.require(start >= 0 && start < time.Duration(p.Duration), prefix+"surge.from", start, "from 0s, below the length")
		v.require(t.Surge.RateFactor > 0, prefix+"surge.factor", t.Surge.RateFactor, "a number above 0")
	}
}

func (v *validator) validateRequests(p *Plan) {
	v.require(len(p.Requests) > 0, "requests", "", "at least one request")
	for i, r := range p.Requests {
		prefix := fmt.Sprintf("requests[%d].", i)
		v.require(r.Method != "", prefix+"method", r.Method, "an HTTP method")
		v.require(strings.HasPrefix(r.Path, "/"), prefix+"path", r.Path, "a path that starts with /")
		v.require(r.Weight > 0, prefix+"part", r.Weight, "a number above 0")
	}
}

func (v *validator) validateFaults(p *Plan) {
	for i, f := range p.Faults {
		prefix := fmt.Sprintf("faults[%d].", i)
		offset := time.Duration(f.At)
		inRun := offset >= 0 && offset < time.Duration(p.Duration)
		ordered := i == 0 || f.At >= p.Faults[i-1].At
		v.require(inRun && ordered, prefix+"at", offset, "from 0s, below the length, in order")
		v.require(f.Method != "", prefix+"method", f.Method, "an HTTP method")
		v.require(isLoopbackURL(f.URL), prefix+"url", f.URL, "an http URL with a loopback IP address and a port")
	}
}

func isLoopbackURL(text string) bool {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Scheme != "http" {
		return false
	}
	address, err := netip.ParseAddrPort(parsed.Host)
	return err == nil && address.Addr().IsLoopback()
}
