package daemon

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/crashdetect"
	"trefoilline.example/trefoilline/internal/transport"
	"trefoilline.example/trefoilline/observe"
)

const (
	// reachabilityTimeout is the timeout of the check whether a backend server is still
	// reachable after it broke a connection.
	reachabilityTimeout = 300 * time.Millisecond
	// broadcastTimeout is the maximum time for which a response is delayed while a crash
	// report is sent to the other hosts.
	broadcastTimeout = 500 * time.Millisecond
	// maxParallelBroadcasts is the maximum number of hosts that a crash report is sent to
	// in parallel.
	maxParallelBroadcasts = 64
)

// reachabilityClient opens a new connection for each call.
var reachabilityClient = &http.Client{
	Transport: &transport.Checked{
		Base: &http.Transport{
			DisableKeepAlives: true,
		},
	},
	Timeout: reachabilityTimeout,
}

// isReachable reports whether the health check of a backend server succeeds on a new
// connection.
func (d *daemon) isReachable(server netip.AddrPort) bool {
	response, err := reachabilityClient.Get("http://" + server.String() + "/health")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// broadcastCrash sends the other hosts a report that a request crashed a backend server,
// or one that clears an earlier report. It returns when they have received the
// report or the timeout is over. The caller gets its response only after that, because it
// may then send the request again to any of the hosts.
func (d *daemon) broadcastCrash(report crashdetect.Report) {
	if !report.Cleared {
		d.log.Write(observe.RequestSuspected, zap.Stringer("server", report.Server),
			zap.Int("lost", d.crashDetector.CrashCount(report.Fingerprint)), zap.Any("fingerprint", report.Fingerprint))
	}
	ctx, cancel := context.WithTimeout(context.Background(), broadcastTimeout)
	defer cancel()
	semaphore := make(chan struct{}, maxParallelBroadcasts)
	var group sync.WaitGroup
	for _, name := range d.otherHosts() {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			// A host that is not reached in time misses this report; it is not sent
			// again.
			_ = d.batchSender.postBatch(ctx, name, messageBatch{
				From: d.settings.Host,
				CrashReports: []crashdetect.Report{
					report,
				},
			})
		})
	}
	group.Wait()
}
