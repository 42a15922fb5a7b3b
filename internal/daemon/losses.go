package daemon

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/suspect"
)

const (
	// answersTimeout bounds the question whether a backend server is still
	// there after it broke a connection.
	answersTimeout = 300 * time.Millisecond
	// shareTimeout bounds the time for which a caller waits while the other
	// hosts are told of a lost backend server.
	shareTimeout = 500 * time.Millisecond
	// sharesAtOnce bounds how many hosts are told at the same time.
	sharesAtOnce = 64
)

// freshClient makes a new connection for each call.
var freshClient = &http.Client{
	Transport: &http.Transport{
		DisableKeepAlives: true,
	},
	Timeout: answersTimeout,
}

// answers reports whether a backend server answers on a new connection.
func (d *daemon) answers(server netip.AddrPort) bool {
	response, err := freshClient.Get("http://" + server.String() + "/health")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// shareLoss tells the other hosts of a backend server lost to a request, and
// returns when they know or the time is out: the caller, who learns of the loss
// after that, may send the request to any of them.
func (d *daemon) shareLoss(loss suspect.Report) {
	if !loss.Cleared {
		d.log.Write(observe.RequestCrashedServer, zap.Stringer("server", loss.Server),
			zap.Int("lost", d.suspects.CrashCount(loss.Fingerprint)), zap.Any("fingerprint", loss.Fingerprint))
	}
	ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
	defer cancel()
	places := make(chan struct{}, sharesAtOnce)
	var group sync.WaitGroup
	for _, name := range d.others() {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			// A host that is not reached in time learns of later losses.
			_ = d.peers.post(ctx, name, packet{
				From: d.settings.Host,
				Losses: []suspect.Report{
					loss,
				},
			})
		})
	}
	group.Wait()
}
