package bufferproxy

import (
	"errors"

	"trefoilline.example/trefoilline/placement"
)

// recordPlacement counts by team what the queue decided about the request.
func (s *requestState) recordPlacement(reservation *placement.Reservation, err error) {
	m := &s.handler.Metrics
	var busy *placement.BusyError
	if errors.As(err, &busy) {
		m.RecordRetryAfter(s.teamName(), busy.RetryAfter)
		if busy.IsReturn {
			m.IncrementCounter("return-refused/" + m.TeamLabel(s.teamName()))
		}
	}
	if err != nil {
		return
	}
	if reservation.IsReturn {
		m.IncrementCounter("return-placed/" + m.TeamLabel(s.teamName()))
	}
	if reservation.IsLate {
		m.IncrementCounter("placed-late/" + m.TeamLabel(s.teamName()))
	}
}
