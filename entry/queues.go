package entry

import (
	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/queue"
	"trefoilline.example/trefoilline/table"
)

// slotQueueKey identifies a slotQueue. There is one for each service in each region.
type slotQueueKey struct {
	Service string
	Region  string
}

// slotQueue is a fair queue of requests that wait for a slot.
type slotQueue = queue.Queue[*backend.Reservation]

// slotQueueFor returns the queue of a service in a region, which it creates if there is none.
func (h *Handler) slotQueueFor(key slotQueueKey) *slotQueue {
	h.slotQueuesMutex.Lock()
	defer h.slotQueuesMutex.Unlock()
	if q, found := h.slotQueues[key]; found {
		return q
	}
	if h.slotQueues == nil {
		h.slotQueues = make(map[slotQueueKey]*slotQueue)
	}
	q := &slotQueue{
		TryAcquire: func() (*backend.Reservation, error) {
			return h.Pool.Reserve(key.Service, key.Region)
		},
		Clock: h.Clock,
	}
	if current := h.routes.Load(); current != nil {
		q.SetWeights(teamWeights(current.table.Teams))
	}
	h.slotQueues[key] = q
	return q
}

// DispatchQueued lets waiting requests try again to get a slot. It is called when slots
// may have become free other than by the end of a request on this host.
func (h *Handler) DispatchQueued() {
	for _, q := range h.allQueues() {
		q.Dispatch()
	}
}

// setQueueWeights sets the teams' weights in all queues.
func (h *Handler) setQueueWeights(teams []table.Team) {
	for _, q := range h.allQueues() {
		q.SetWeights(teamWeights(teams))
	}
}

func (h *Handler) allQueues() []*slotQueue {
	h.slotQueuesMutex.Lock()
	defer h.slotQueuesMutex.Unlock()
	all := make([]*slotQueue, 0, len(h.slotQueues))
	for _, q := range h.slotQueues {
		all = append(all, q)
	}
	return all
}

// teamWeights returns the teams' weights in the fair queues, by name of the team.
func teamWeights(teams []table.Team) map[string]float64 {
	weights := make(map[string]float64, len(teams))
	for _, t := range teams {
		weights[t.Name] = t.Weight
	}
	return weights
}
