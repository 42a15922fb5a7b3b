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
	// running is the number of this host's requests on the server.
	running int
	// otherHostsLoad is the number of other hosts' requests on the server, as of its
	// last load report at reportedAt.
	otherHostsLoad float64
	reportedAt     time.Time
	// meanLoad is the moving average of the load that the server reports.
	meanLoad float64
	// consecutiveFailures counts the requests in a row that the server did not
	// respond to.
	consecutiveFailures int
	// ejectedUntil is when the server gets requests again after failures.
	ejectedUntil time.Time
	// failureRate is the moving average of the fraction of requests that failed,
	// from 0 to 1.
	failureRate float64
	// coldUntil is when the server is no longer cold.
	coldUntil time.Time
	// coldTokens limits the requests of this host to the server while it is cold.
	coldTokens meter.Bucket
}

// otherHostsLoadHalfLife is the half-life of the reported load of other hosts, which
// becomes less accurate with the age of the report.
const otherHostsLoadHalfLife = 600 * time.Millisecond

// load estimates the number of requests that the server has now, running and queued.
func (s *server) load(now time.Time) float64 {
	age := now.Sub(s.reportedAt)
	if s.reportedAt.IsZero() || age > 8*otherHostsLoadHalfLife {
		return float64(s.running)
	}
	return float64(s.running) + s.otherHostsLoad*decay(age, otherHostsLoadHalfLife)
}

// meanLoadWindow is the time constant of the moving average of a server's load.
const meanLoadWindow = time.Second

// updateMeanLoad adds a load that the server reported to the moving average.
func (s *server) updateMeanLoad(load float64, now time.Time) {
	s.meanLoad = s.meanLoadAt(now)
	weight := 1.0
	if !s.reportedAt.IsZero() {
		weight = 1 - math.Exp(-now.Sub(s.reportedAt).Seconds()/meanLoadWindow.Seconds())
	}
	s.meanLoad += weight * (load - s.meanLoad)
}

// meanLoadAt returns the moving average of the server's load. With the age of the
// last report it approaches the number of this host's requests on the server.
func (s *server) meanLoadAt(now time.Time) float64 {
	return float64(s.running) + (s.meanLoad-float64(s.running))*decay(now.Sub(s.reportedAt), 2*meanLoadWindow)
}

// isUsable reports whether the server accepts requests at all: it is live and its
// zone is not evacuated.
func (s *server) isUsable() bool {
	return s.State == objectstore.Live && !s.evacuated
}

// isHealthy reports whether the server is not ejected.
func (s *server) isHealthy(now time.Time) bool {
	return !now.Before(s.ejectedUntil)
}

// isCold reports whether the server is cold, and so gets requests at its service's
// cold rate only.
func (s *server) isCold(now time.Time) bool {
	return now.Before(s.coldUntil)
}

// decay returns the factor of exponential decay after the age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
