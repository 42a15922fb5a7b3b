package intake

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/observe"
)

// recordResponse records in the metrics and the log that the request ended with a
// backend server's response.
func (c *call) recordResponse(status int) {
	elapsed := c.elapsed()
	m := &c.handler.Metrics
	m.Answered(c.teamName(), elapsed)
	m.Waited(c.teamName(), c.queueTime)
	m.Passed(c.routeName(), c.service, elapsed)
	event := observe.RequestPassed
	if target := c.route.LatencyTarget; target > 0 && elapsed > target {
		m.Count("late/" + m.Route(c.routeName()))
		event = observe.RequestLate
	}
	if !c.handler.Log.Writes(event) {
		// Most requests end within the latency target, and their event is usually not
		// logged.
		return
	}
	c.handler.Log.Write(event, append(c.logFields(), zap.Int("status", status), zap.String("region", c.lastRegion),
		zap.String("object", c.affinityKey()))...)
}

// recordHostStatus records in the metrics and the log that the request ended with a
// status that this host set itself.
func (c *call) recordHostStatus(status int, retryAfter time.Duration, cause error) {
	c.handler.Metrics.Refused(c.teamName(), strconv.Itoa(status))
	c.handler.Log.Write(observe.RequestEnded, append(c.logFields(), zap.Int("status", status),
		zap.Duration("return-in", retryAfter), zap.Error(cause))...)
}

// recordCallerGone records in the metrics and the log that the caller left before its
// request ended.
func (c *call) recordCallerGone() {
	c.handler.Metrics.Count("left")
	c.handler.Log.Write(observe.CallerLeft, c.logFields()...)
}

// logFields returns the log fields that all events of a request have.
func (c *call) logFields() []zap.Field {
	fields := []zap.Field{
		zap.String("request", c.r.Header.Get(c.handler.HeaderCodec.RequestID)),
		zap.Duration("took", c.elapsed()),
		zap.Duration("waited", c.queueTime),
		zap.Strings("servers", c.triedServers),
		zap.String("route", c.routeName()),
		zap.String("service", c.service),
		zap.String("team", c.teamName()),
	}
	if c.index != nil {
		fields = append(fields, zap.Uint64("version", uint64(c.index.Version)))
	}
	if !c.deadline.IsZero() {
		fields = append(fields, zap.Duration("allowed", c.deadline.Sub(c.start)))
	}
	return fields
}

func (c *call) elapsed() time.Duration { return c.handler.now().Sub(c.start) }

func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

func (c *call) teamName() string {
	if c.team == nil {
		return ""
	}
	return c.team.Name
}
