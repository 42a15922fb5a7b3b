package experiment

import "time"

// faultReport works out how long the fleet took to answer again.
func (t *Collector) faultReport(fault int) FaultReport {
	planned := t.Plan.Faults[fault]
	report := FaultReport{
		At:        planned.At,
		URL:       planned.URL,
		Body:      planned.Body,
		Recovered: true,
		Error:     t.failed[fault],
	}
	first := int(time.Duration(planned.At) / time.Second)
	end := t.endOf(fault)
	for s := first; s < end; s++ {
		if t.answeredPart(s) >= recoveredPart {
			continue
		}
		report.RecoveryTime = Duration(time.Duration(s+1)*time.Second - time.Duration(planned.At))
		report.Recovered = s+1 < end
	}
	return report
}

// endOf returns the first second that is no longer the fault's.
func (t *Collector) endOf(fault int) int {
	if fault+1 == len(t.Plan.Faults) {
		return int((t.length() + time.Second - 1) / time.Second)
	}
	first := int(time.Duration(t.Plan.Faults[fault].At) / time.Second)
	next := int(time.Duration(t.Plan.Faults[fault+1].At) / time.Second)
	return max(next, first+1)
}

// answeredPart leaves rightful refusals for a rate out, since a team above its
// rate would otherwise hide that the others are served again.
func (t *Collector) answeredPart(second int) float64 {
	counted := t.seconds[second]
	missed := counted.missed
	for i, o := range counted.overRate {
		if t.within(i, false) {
			missed += o.calm
		}
		if t.within(i, true) {
			missed += o.surge
		}
	}
	return part(counted.answered, counted.answered+missed)
}
