package daemon

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/observe"
)

// leave takes the host out of look-up answers, serves on until cached answers
// have run out and running requests are done, and closes the server.
func (d *daemon) leave(server *http.Server) error {
	d.log.Write(observe.DrainingStarted, zap.Int("running", d.handler.Running()))
	d.leaving.Store(true)
	d.node.StartDraining()
	d.limits.StartDraining()

	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainLimit)
	defer cancel()
	pause(ctx, d.settings.LookUpValidity)
	err := server.Shutdown(ctx)
	cut := d.handler.Running()
	d.log.Write(observe.Stopped, zap.Int("cut", cut), zap.Duration("drain-time", time.Since(begun)))
	if err != nil {
		return server.Close()
	}
	return nil
}
