package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/internal/connection"
	"trefoilline.example/trefoilline/observe"
)

// maxAnswerTime is the time for the answers to requests that still run when the host stops, unless that is
// more than answerFraction of the drain timeout.
const (
	maxAnswerTime  = 500 * time.Millisecond
	answerFraction = 0.25
)

// answerTime returns how long before the end of its drain timeout the host ends the requests
// that still run.
func (s Settings) answerTime() time.Duration {
	return min(maxAnswerTime, time.Duration(answerFraction*float64(s.DrainTimeout)))
}

// drain takes the host out of look-up answers, serves requests until cached answers have
// expired and running requests are answered, and closes the server. Requests that still run shortly before
// the end of DrainTimeout are ended and answered with what is known of them, since a caller whose
// connection is cut knows less. After DrainTimeout drain closes the connections that remain.
func (d *daemon) drain(server *connection.Server, endRequests context.CancelFunc) error {
	d.log.Write(observe.DrainingStarted, zap.Int("running", d.handler.RunningRequests()))
	d.draining.Store(true)
	d.fleetNode.StartDraining()
	d.limiter.StartDraining()

	startedAt := time.Now()
	end := startedAt.Add(d.settings.DrainTimeout)
	serving, stopServing := context.WithDeadline(context.Background(), end.Add(-d.settings.answerTime()))
	defer stopServing()
	sleep(serving, d.settings.LookUpTTL)
	server.StopAccepting()
	open := server.Wait(serving)
	interrupted := d.handler.RunningRequests()
	if open > 0 {
		endRequests()
		open = waitUntil(server, end)
	}
	err := server.Close()
	d.log.Write(observe.Stopped, zap.Int("cut", interrupted), zap.Int("open", open), zap.Duration("drain-time", time.Since(startedAt)))
	return err
}

// waitUntil waits until all connections are closed, at most until the given time, and returns how many are
// still open then.
func waitUntil(server *connection.Server, end time.Time) int {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	return server.Wait(ctx)
}
