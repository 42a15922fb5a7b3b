package entry

import (
	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/queue"
	"trefoilline.example/trefoilline/table"
)

// queueKey identifies a queue: there is one for each service in each region.
type queueKey struct {
	Service string
	Region  string
}

// slotQueue is a fair queue of requests that wait for a slot.
type slotQueue = queue.Queue[*backend.Reservation]

// queueFor returns the queue of a service in a region, which it creates if there is none.
func (h *Handler) queueFor(key queueKey) *slotQueue {
	h.queuesMutex.Lock()
	defer h.queuesMutex.Unlock()
	if q, found := h.queues[key]; found {
		return q
	}
	if h.queues == nil {
		h.queues = make(map[queueKey]*slotQueue)
	}
	q := &slotQueue{
		TryAcquire: func() (*backend.Reservation, error) {
			return h.Pool.Reserve(key.Service, key.Region)
		},
		Clock: h.Clock,
	}
	if current := h.matcher.Load(); current != nil {
		q.SetWeights(teamWeights(current.table.Teams))
	}
	h.queues[key] = q
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
	h.queuesMutex.Lock()
	defer h.queuesMutex.Unlock()
	all := make([]*slotQueue, 0, len(h.queues))
	for _, q := range h.queues {
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
