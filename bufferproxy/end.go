package bufferproxy

import (
	"context"
	"time"
)

// EndRequests ends all requests at once, since this host stops: those that no server can have run
// with 503, the others with 502. They are answered when [Handler.RunningRequests] is zero.
func (h *Handler) EndRequests() {
	h.cancels.Range(func(_, cancel any) bool {
		cancel.(context.CancelFunc)()
		return true
	})
	h.rejectUploads(time.Time{})
}
