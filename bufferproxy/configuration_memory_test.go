package bufferproxy_test

import (
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/routing"
)

// TestRunningRequestsKeepNoOldConfiguration guards against long requests that each keep the configuration that was in force when they
// arrived, so that quick changes of a large one exceed the memory.
func TestRunningRequestsKeepNoOldConfiguration(t *testing.T) {
	running, end := make(chan struct{}), make(chan struct{})
	host := newTestHost(t, func(w http.ResponseWriter, r *http.Request) {
		close(running)
		<-end
		writeResponse(w, r, "done")
	})
	release := sync.OnceFunc(func() { close(end) })
	t.Cleanup(release)
	var isFreed atomic.Bool
	old := configuration()
	old.Version++
	index := routing.NewIndex(old)
	runtime.AddCleanup(&index.Configuration.Routes[0], func(struct{}) { isFreed.Store(true) }, struct{}{})
	host.handler.SetConfiguration(index)
	index = nil
	old = routing.Configuration{}
	done := make(chan int)
	go func() {
		response, err := http.DefaultClient.Do(host.request(http.MethodGet, "/stock/1", ""))
		if err != nil {
			done <- 0
			return
		}
		_ = response.Body.Close()
		done <- response.StatusCode
	}()
	<-running
	next := configuration()
	next.Version += 2
	host.handler.SetConfiguration(routing.NewIndex(next))
	require.Eventually(t, func() bool {
		runtime.GC()
		return isFreed.Load()
	}, time.Second, 10*time.Millisecond)
	release()
	require.Equal(t, http.StatusOK, <-done)
}
