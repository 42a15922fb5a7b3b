package host

import (
	"context"

	"trefoilline.example/trefoilline/quota"
	"trefoilline.example/trefoilline/roster"
)

// spill is how much of each route's objects stay in this region.
type spill struct{}

// divide keeps this host's parts of what all hosts share.
func (h *host) divide(ctx context.Context) {
	for ctx.Err() == nil {
		h.book.Divide(h.othersAsked())
		h.pool.SetHosts(h.regionHosts())
		pause(ctx, roster.BeatPeriod/2)
	}
}

// othersAsked is what all other hosts are asked for.
func (h *host) othersAsked() []quota.Asked {
	var others []quota.Asked
	for _, b := range h.roster.Remembered() {
		others = append(others, b.Asked)
	}
	for range h.roster.Unheard() {
		others = append(others, nil)
	}
	return others
}
