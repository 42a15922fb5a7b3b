package entry

import (
	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/queue"
	"trefoilline.example/trefoilline/table"
)

// place is where requests wait for a slot.
type place struct {
	Service string
	Region  string
}

// line is the queue of one place.
type line = queue.Queue[*backend.Reservation]

// queueOf returns the queue of a service in a region.
func (h *Handler) queueOf(p place) *line {
	h.queueMutex.Lock()
	defer h.queueMutex.Unlock()
	if q, known := h.queues[p]; known {
		return q
	}
	if h.queues == nil {
		h.queues = make(map[place]*line)
	}
	q := &line{
		TryAcquire: func() (*backend.Reservation, error) {
			return h.Pool.Reserve(p.Service, p.Region)
		},
		Clock: h.Clock,
	}
	if current := h.routes.Load(); current != nil {
		q.SetWeights(teamWeights(current.table.Teams))
	}
	h.queues[p] = q
	return q
}

// Wake lets waiting requests try again, after room was made elsewhere.
func (h *Handler) DispatchQueued() {
	for _, q := range h.allQueues() {
		q.Dispatch()
	}
}

func (h *Handler) setQueueWeights(teams []table.Team) {
	for _, q := range h.allQueues() {
		q.SetWeights(teamWeights(teams))
	}
}

func (h *Handler) allQueues() []*line {
	h.queueMutex.Lock()
	defer h.queueMutex.Unlock()
	all := make([]*line, 0, len(h.queues))
	for _, q := range h.queues {
		all = append(all, q)
	}
	return all
}

// teamWeights returns the weights of the fair queues.
func teamWeights(teams []table.Team) map[string]float64 {
	weights := make(map[string]float64, len(teams))
	for _, t := range teams {
		weights[t.Name] = t.Weight
	}
	return weights
}
