package intake

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/observe"
)

// notePassed logs and measures a request that got a backend server's answer.
func (c *call) notePassed(status int) {
	took := c.took()
	m := &c.handler.Metrics
	m.RecordLatency(c.teamName(), took)
	m.RecordQueueWait(c.teamName(), c.waited)
	m.RecordRouteLatency(c.routeName(), c.service, took)
	event := observe.RequestCompleted
	if target := c.route.LatencyTarget; target > 0 && took > target {
		m.IncrementCounter("late/" + m.RouteLabel(c.routeName()))
		event = observe.RequestSlow
	}
	if !c.handler.Log.IsEnabled(event) {
		// Most requests pass in time, and are not logged.
		return
	}
	c.handler.Log.Write(event, append(c.fields(), zap.Int("status", status), zap.String("region", c.region),
		zap.String("object", c.object()))...)
}

// noteEnded logs and measures a request that this host ended with a status of its
// own.
func (c *call) noteEnded(status int, wait time.Duration, cause error) {
	c.handler.Metrics.CountRefusal(c.teamName(), strconv.Itoa(status))
	c.handler.Log.Write(observe.RequestFailed, append(c.fields(), zap.Int("status", status),
		zap.Duration("return-in", wait), zap.Error(cause))...)
}

// noteLeft logs and measures a request whose caller left.
func (c *call) noteLeft() {
	c.handler.Metrics.IncrementCounter("left")
	c.handler.Log.Write(observe.CallerDisconnected, c.fields()...)
}

// fields are what is told of each request: what it was, what decided about it and
// how long it took.
func (c *call) fields() []zap.Field {
	fields := []zap.Field{
		zap.String("request", c.r.Header.Get(c.handler.HeaderCodec.RequestID)),
		zap.Duration("took", c.took()),
		zap.Duration("waited", c.waited),
		zap.Strings("servers", c.met),
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

func (c *call) took() time.Duration { return c.handler.now().Sub(c.start) }

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
