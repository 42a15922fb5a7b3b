package bufferproxy

import (
	"errors"
	"net/http"
	"net/netip"
	"slices"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/placement"
)

// OtherHost is an entry host to which this one forwards requests.
type OtherHost struct {
	Name   string
	Region string
	// Address is where it accepts requests of other hosts, which it gives to
	// [Handler.ServeForwarded].
	Address netip.AddrPort
}

// maxForwards is how many other hosts a request is forwarded to while none of them runs it.
const maxForwards = 2

// forwardToHosts forwards the request to another host, and to a further one if that one did not
// have it run. It returns the last result, or nil if there is no such host. The body goes only to
// hosts in the regions that the route and the team allow.
func (s *requestState) forwardToHosts() result {
	if s.isForwarded || s.handler.FindHost == nil {
		return nil
	}
	var last result
	for len(s.triedHosts) < maxForwards && s.ctx.Err() == nil && s.serverRequest.CanResend() {
		host, isFound := s.handler.FindHost(s.allowedRegions(), s.triedHosts)
		if !isFound {
			return last
		}
		s.triedHosts = append(s.triedHosts, host.Name)
		last = s.sendToHost(host)
		if failed, isFailure := last.(*failure); !isFailure || failed.mayHaveRun && !s.shouldRetry(last) {
			return last
		}
	}
	return last
}

// sendToHost sends the request to another host once.
func (s *requestState) sendToHost(host OtherHost) result {
	s.serverRequest.ToEntryHost = true
	defer func() { s.serverRequest.ToEntryHost = false }()
	s.serverRequest.OnResponseHeader = nil
	s.serverRequest.HeaderOverrides = http.Header{}
	s.serverRequest.HeaderOverrides.Set(header.ForwardedBy, s.handler.Pool.Host)
	s.lastRegion = host.Region
	s.handler.Metrics.IncrementCounter("forwarded")
	switch o := s.handler.HostClient.Send(s.ctx, host.Address, s.serverRequest).(type) {
	case *exchange.Response:
		defer o.Close()
		s.possibleRuns++
		complete, err := s.readComplete(o)
		if err != nil {
			return s.unknownFrom(host.Name, exchange.ConnectionBroken, err)
		}
		return complete
	case exchange.NotRun:
		return &failure{
			cause: &NotRunError{
				Server: host.Name,
				Reason: o.Reason(),
				Cause:  o.Cause(),
			},
		}
	case *exchange.Unknown:
		s.possibleRuns++
		return s.unknownFrom(host.Name, o.Reason, o.Cause)
	}
	// Not reached: exchange.Outcome has no other implementations.
	return s.unknownFrom(host.Name, exchange.ConnectionBroken, nil)
}

func (s *requestState) unknownFrom(name string, reason header.Reason, cause error) *failure {
	return &failure{
		cause: &UnknownOutcomeError{
			Server: name,
			Reason: reason,
			Cause:  cause,
		},
		mayHaveRun: true,
	}
}

// ServeForwarded serves a request that another host has forwarded. That host has taken the team's
// token, and learns from the response whether a server may have run the request. The request is
// not forwarded again.
func (h *Handler) ServeForwarded(w http.ResponseWriter, r *http.Request) {
	h.Metrics.IncrementCounter("served-for-others")
	h.serve(w, r, true)
}

// tellForwarder adds to a response without a server's answer what the host that forwarded the
// request must know, and returns the status: 503 with a reason if the request was not run, or that
// it may have run.
func (s *requestState) tellForwarder(status int, cause error) int {
	codec := &s.handler.HeaderCodec
	h := s.w.Header()
	h.Set(codec.RequestID, s.callerRequest.Header.Get(codec.RequestID))
	if status == http.StatusBadGateway || status == http.StatusGatewayTimeout {
		reason := exchange.ConnectionBroken
		var unknown *UnknownOutcomeError
		if errors.As(cause, &unknown) {
			reason = unknown.Reason
		}
		h.Set(header.OutcomeUnknown, string(reason))
		return status
	}
	h.Set(codec.NotRun, string(exchange.Rejected))
	return http.StatusServiceUnavailable
}

// AllowsRegion reports whether a region is in all lists; an empty list allows every region.
func AllowsRegion(lists [][]string, region string) bool {
	return !slices.ContainsFunc(lists, func(list []string) bool {
		return len(list) > 0 && !slices.Contains(list, region)
	})
}

// couldHaveRunElsewhere reports whether a request that failed here may be served by way of another
// host: no server can have run it, and this host reaches none, or reached none of those that it
// tried.
func (s *requestState) couldHaveRunElsewhere(r result) bool {
	failed, isFailure := r.(*failure)
	if !isFailure || failed.mayHaveRun {
		return false
	}
	var busy *placement.BusyError
	return isUnsent(failed.cause) || s.handler.Pool.IsCutOff() && errors.As(failed.cause, &busy)
}
