package daemon

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/observe"
)

// drain takes the host out of look-up answers, serves requests until cached answers have
// expired and running requests are done, and closes the server. After DrainTimeout it
// closes the connections of the requests that still run.
func (d *daemon) drain(server *http.Server) error {
	d.log.Write(observe.DrainingStarted, zap.Int("running", d.handler.RunningRequests()))
	d.draining.Store(true)
	d.fleetNode.StartDraining()
	d.limiter.StartDraining()

	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainTimeout)
	defer cancel()
	sleep(ctx, d.settings.LookUpTTL)
	err := server.Shutdown(ctx)
	interrupted := d.handler.RunningRequests()
	d.log.Write(observe.Stopped, zap.Int("cut", interrupted), zap.Duration("drain-time", time.Since(startedAt)))
	if err != nil {
		return server.Close()
	}
	return nil
}
