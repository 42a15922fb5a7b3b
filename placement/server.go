package placement

import (
	"math"
	"time"

	"trefoilline.example/trefoilline/meter"
	"trefoilline.example/trefoilline/objectstore"
)

// server is the state of one backend server as this host knows it.
type server struct {
	objectstore.Machine
	// evacuated is true if the server's zone is evacuated.
	evacuated bool
	// inFlight is the number of this host's requests on the server, running and
	// queued there.
	inFlight int
	// otherHostsLoad is the number of other hosts' requests on the server, as of its
	// last load report at reportedAt.
	otherHostsLoad float64
	reportedAt     time.Time
	// meanLoad is the moving average of the load that the server reports.
	meanLoad float64
	// consecutiveFailures counts the [NoResponse] outcomes since the server last
	// responded to or refused a request.
	consecutiveFailures int
	// heardAt is when the server last responded, whatever it said.
	heardAt time.Time
	// ejectedUntil is the end of the server's ejection; zero if it was never ejected.
	ejectedUntil time.Time
	// failureRate is the moving average of the fraction of requests that failed, from
	// 0 to 1. It does not include [NoResponse] and [Misdirected] outcomes, and is
	// lowered after each ejection that it causes.
	failureRate float64
	// warmUpUntil is the end of the server's warm-up, during which it is cold.
	warmUpUntil time.Time
	// coldTokens limits the requests of this host to the server while it is cold.
	coldTokens meter.TokenBucket
	// coldShare is this host's share of the server's cold rate while hosts are those of
	// the given generation.
	coldShare      float64
	coldGeneration uint64
	limit          serverLimit
	// said is what this incarnation of the server has said in its responses. isLeaving and
	// pausedUntil are copies of it, since each request looks at those of many servers.
	said        *statements
	isLeaving   bool
	pausedUntil time.Time
	// waiting are the queued requests that have the server as a candidate.
	waiting waitingList
}

// otherHostsLoadHalfLife is the half-life of the reported load of other hosts, which
// becomes less accurate with the age of the report.
const otherHostsLoadHalfLife = 600 * time.Millisecond

// load estimates the number of requests that the server has now, running and queued.
// It ignores a load report that is older than eight half-lives.
func (s *server) load(now time.Time) float64 {
	age := now.Sub(s.reportedAt)
	if s.reportedAt.IsZero() || age > 8*otherHostsLoadHalfLife {
		return float64(s.inFlight)
	}
	return float64(s.inFlight) + s.otherHostsLoad*decay(age, otherHostsLoadHalfLife)
}

// meanLoadTimeConstant is the time constant of the moving average of a server's
// reported load. Twice its value is the half-life with which the average decays to this
// host's own requests once no more reports arrive.
const meanLoadTimeConstant = time.Second

// updateMeanLoad adds a load that the server reported to the moving average.
func (s *server) updateMeanLoad(load float64, now time.Time) {
	s.meanLoad = s.meanLoadAt(now)
	weight := 1.0
	if !s.reportedAt.IsZero() {
		weight = 1 - math.Exp(-now.Sub(s.reportedAt).Seconds()/meanLoadTimeConstant.Seconds())
	}
	s.meanLoad += weight * (load - s.meanLoad)
}

// meanLoadAt returns the moving average of the server's load. As the last report ages,
// the result decays to the number of this host's requests on the server.
func (s *server) meanLoadAt(now time.Time) float64 {
	return float64(s.inFlight) + (s.meanLoad-float64(s.inFlight))*decay(now.Sub(s.reportedAt), 2*meanLoadTimeConstant)
}

// isHealthy reports whether the server is not ejected now.
func (s *server) isHealthy(now time.Time) bool {
	return !now.Before(s.ejectedUntil)
}

// isCold reports whether the server still warms up, during which it gets requests
// at its service's cold rate only.
func (s *server) isCold(now time.Time) bool {
	return now.Before(s.warmUpUntil)
}

// decay returns the factor of exponential decay after the age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
