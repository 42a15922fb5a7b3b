package experiment

import "time"

// faultReport returns the report of one fault; see [FaultReport.RecoveryTime] for
// how it is computed. The caller holds c.mutex.
func (c *Collector) faultReport(faultIndex int) FaultReport {
	planned := c.Plan.Faults[faultIndex]
	report := FaultReport{
		At:        planned.At,
		URL:       planned.URL,
		Body:      planned.Body,
		Recovered: true,
		Error:     c.faultErrors[faultIndex],
	}
	firstSecond := int(time.Duration(planned.At) / time.Second)
	endSecond := c.endSecond(faultIndex)
	for s := firstSecond; s < endSecond; s++ {
		if c.answeredShare(s) >= recoveredShare {
			continue
		}
		report.RecoveryTime = Duration(time.Duration(s+1)*time.Second - time.Duration(planned.At))
		report.Recovered = s+1 < endSecond
	}
	return report
}

// endSecond returns the second after the last one that counts for the fault: the
// second of the next fault, or the end of the run. Each fault counts for at least
// one second.
func (c *Collector) endSecond(faultIndex int) int {
	if faultIndex+1 == len(c.Plan.Faults) {
		return int((c.duration() + time.Second - 1) / time.Second)
	}
	firstSecond := int(time.Duration(c.Plan.Faults[faultIndex].At) / time.Second)
	next := int(time.Duration(c.Plan.Faults[faultIndex+1].At) / time.Second)
	return max(next, firstSecond+1)
}

// answeredShare returns the share of the requests due in a second that were
// answered. It leaves out rate limit rejections of teams that sent more than 90%
// of their allowed rate in the period before or in their surge. They would
// otherwise hide that the other teams are served again. The caller holds c.mutex.
func (c *Collector) answeredShare(second int) float64 {
	counts := c.seconds[second]
	unanswered := counts.unanswered
	for i, limited := range counts.rateLimited {
		if c.isWithinRate(i, false) {
			unanswered += limited.beforeSurge
		}
		if c.isWithinRate(i, true) {
			unanswered += limited.inSurge
		}
	}
	return share(counts.answered, counts.answered+unanswered)
}
