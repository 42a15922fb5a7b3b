package experiment

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"
)

// Bounds of a plan, so that a slip of the pen can't flood the machine.
const (
	maxLength   = 30 * time.Minute
	maxTimeout  = time.Minute
	maxOpen     = 10_000
	maxArrivals = 1_000_000
	maxSkew     = 1_000
)

// checker gathers the faults of a plan.
type checker struct {
	faults []*FieldError
}

func (c *checker) expect(holds bool, field string, value any, accepted string) {
	if holds {
		return
	}
	c.faults = append(c.faults, &FieldError{
		Field:    field,
		Value:    fmt.Sprint(value),
		Accepted: accepted,
	})
}

// Validate returns a [InvalidPlanError] with all faults of the plan, or nil.
func (p *Plan) Validate() error {
	var c checker
	c.checkRun(p)
	c.checkEntries(p)
	c.checkTeams(p)
	c.checkRequests(p)
	c.checkFaults(p)
	if len(c.faults) == 0 {
		return nil
	}
	return &InvalidPlanError{
		Problems: c.faults,
	}
}

func (c *checker) checkRun(p *Plan) {
	length := time.Duration(p.Duration)
	timeout := time.Duration(p.Timeout)
	c.expect(length >= time.Second && length <= maxLength, "length", length, fmt.Sprintf("1s to %v", maxLength))
	c.expect(timeout > 0 && timeout <= maxTimeout, "timeout", timeout, fmt.Sprintf("above 0s, to %v", maxTimeout))
	c.expect(p.MaxInFlight >= 1 && p.MaxInFlight <= maxOpen, "max-open", p.MaxInFlight, fmt.Sprintf("1 to %d", maxOpen))
	total := p.expectedArrivals()
	c.expect(total <= maxArrivals, "teams.rate", total, fmt.Sprintf("at most %d requests in the run", maxArrivals))
}

// expectedArrivals is the mean number of requests in the run.
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

func (c *checker) checkEntries(p *Plan) {
	c.expect(len(p.EntryHosts) > 0, "entries", "", "at least one IP address and port")
	for i, e := range p.EntryHosts {
		address, err := netip.ParseAddrPort(e)
		field := fmt.Sprintf("entries[%d]", i)
		c.expect(err == nil && address.Addr().IsLoopback(), field, e, "an IP address on loopback, and a port")
	}
}

func (c *checker) checkTeams(p *Plan) {
	c.expect(len(p.Teams) > 0, "teams", "", "at least one team")
	seen := make(map[string]bool)
	for i, t := range p.Teams {
		at := fmt.Sprintf("teams[%d].", i)
		c.expect(t.Name != "" && !seen[t.Name], at+"name", t.Name, "a name that no other team has")
		seen[t.Name] = true
		c.expect(t.Rate > 0, at+"rate", t.Rate, "requests per second, above 0")
		c.expect(t.AllowedRate > 0, at+"allowed-rate", t.AllowedRate, "requests per second, above 0")
		c.expect(t.CallerCount >= 1 && t.CallerCount <= maxSkew, at+"skew", t.CallerCount, fmt.Sprintf("1 to %d callers", maxSkew))
		if t.Surge == nil {
			continue
		}
		from := time.Duration(t.Surge.Start)
		c.expect(from >= 0 && from < time.Duration(p.Duration), at+"surge.from", from, "from 0s, below the length")
		c.expect(t.Surge.RateFactor > 0, at+"surge.factor", t.Surge.RateFactor, "a number above 0")
	}
}

func (c *checker) checkRequests(p *Plan) {
	c.expect(len(p.Requests) > 0, "requests", "", "at least one request")
	for i, r := range p.Requests {
		at := fmt.Sprintf("requests[%d].", i)
		c.expect(r.Method != "", at+"method", r.Method, "an HTTP method")
		c.expect(strings.HasPrefix(r.Path, "/"), at+"path", r.Path, "a path that starts with /")
		c.expect(r.Weight > 0, at+"part", r.Weight, "a number above 0")
	}
}

func (c *checker) checkFaults(p *Plan) {
	for i, f := range p.Faults {
		at := fmt.Sprintf("faults[%d].", i)
		moment := time.Duration(f.At)
		inRun := moment >= 0 && moment < time.Duration(p.Duration)
		ordered := i == 0 || f.At >= p.Faults[i-1].At
		c.expect(inRun && ordered, at+"at", moment, "from 0s, below the length, in order")
		c.expect(f.Method != "", at+"method", f.Method, "an HTTP method")
		c.expect(onLoopback(f.URL), at+"url", f.URL, "an http URL with an IP address on loopback and a port")
	}
}

func onLoopback(text string) bool {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Scheme != "http" {
		return false
	}
	address, err := netip.ParseAddrPort(parsed.Host)
	return err == nil && address.Addr().IsLoopback()
}
