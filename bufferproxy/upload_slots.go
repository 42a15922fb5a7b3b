package bufferproxy

import (
	"maps"
	"sync"
	"time"

	"trefoilline.example/trefoilline/memorybudget"
)

// uploadSlots holds the requests whose bodies are sent to backend servers while they arrive. Those that stall lose their slot when
// others are queued for it. The zero value is ready for use.
type uploadSlots struct {
	mu      sync.Mutex
	holders map[*requestState]struct{}
	// isDue is true while a timer for the next review runs.
	isDue bool
	// shortages are the services whose slots are or were short.
	shortages map[string]slotShortage
	// lost are the slots that groups have lost recently.
	lost map[slotUser]slotLosses
}

// slotShortage is when a request last had to wait for a slot of a service, or got none.
type slotShortage struct {
	at time.Time
	// turnedAway is how many requests got none since the last review. They are not queued if the wait would be too long.
	turnedAway int
}

// slotUser is a group whose uploads occupy slots of a service.
type slotUser struct {
	service string
	group   memorybudget.Group
}

// slotLosses are how many slots were lost without a pause of shortagePeriod, and when the last one was.
type slotLosses struct {
	count int
	last  time.Time
}

// shortagePeriod is how long the slots of a service count as short after a request had to wait for one.
const shortagePeriod = 5 * memorybudget.Window

// minStalledUploads is how many uploads of a group must have stalled, or lost their slots, before it gets no more slots for uploads. A
// single one may be that of a slow caller.
const minStalledUploads = 2

// recordLoss records that an upload lost its slot, and forgets losses that no longer matter.
func (u *uploadSlots) recordLoss(user slotUser, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	maps.DeleteFunc(u.lost, func(_ slotUser, l slotLosses) bool { return now.Sub(l.last) > shortagePeriod })
	if u.lost == nil {
		u.lost = make(map[slotUser]slotLosses)
	}
	u.lost[user] = slotLosses{
		count: u.lost[user].count + 1,
		last:  now,
	}
}

// recordShortage records that a request had to wait for a slot of the service, or was turned away.
func (u *uploadSlots) recordShortage(service string, turnedAway bool, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.shortages == nil {
		u.shortages = make(map[string]slotShortage)
	}
	short := u.shortages[service]
	short.at = now
	if turnedAway {
		short.turnedAway++
	}
	u.shortages[service] = short
}

// takeTurnedAway returns how many requests of the service were turned away since it was last called.
func (u *uploadSlots) takeTurnedAway(service string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	short, wasShort := u.shortages[service]
	if !wasShort || short.turnedAway == 0 {
		return 0
	}
	turnedAway := short.turnedAway
	short.turnedAway = 0
	u.shortages[service] = short
	return turnedAway
}

// rejectsUpload reports whether an upload gets no slot: the slots of its service are short, and either at least half of the uploads of
// its caller and team that occupy some have stalled, or others have lost theirs lately and one occupies a slot now. Otherwise new uploads
// that stop short would replace those that lose their slots.
func (h *Handler) rejectsUpload(s *requestState) bool {
	if s.stream == nil {
		return false
	}
	slots := &h.uploadSlots
	slots.mu.Lock()
	defer slots.mu.Unlock()
	short, wasShort := slots.shortages[s.service]
	now := h.now()
	if !wasShort || now.Sub(short.at) > shortagePeriod {
		return false
	}
	stalled, all := 0, 0
	user := s.slotUser()
	for other := range slots.holders {
		if other.slotUser() != user {
			continue
		}
		all++
		if other.upload.StalledFor() >= memorybudget.Window/2 {
			stalled++
		}
	}
	if lost := slots.lost[user]; lost.count >= minStalledUploads && now.Sub(lost.last) <= shortagePeriod && all > 0 {
		return true
	}
	return stalled >= minStalledUploads && 2*stalled >= all
}

func (s *requestState) slotUser() slotUser {
	return slotUser{
		service: s.service,
		group:   s.memoryGroup(),
	}
}

// slotReviewInterval is the time between two checks of the uploads that occupy slots.
const slotReviewInterval = memorybudget.Window / 10

// occupySlot registers a request that has a slot, until the returned function is called.
func (h *Handler) occupySlot(s *requestState) (free func()) {
	if s.stream == nil {
		return func() {}
	}
	slots := &h.uploadSlots
	slots.mu.Lock()
	defer slots.mu.Unlock()
	if slots.holders == nil {
		slots.holders = make(map[*requestState]struct{})
	}
	slots.holders[s] = struct{}{}
	h.scheduleSlotReview()
	return func() {
		slots.mu.Lock()
		defer slots.mu.Unlock()
		delete(slots.holders, s)
	}
}

// scheduleSlotReview starts the timer of the next review while there are uploads. The lock must be held.
func (h *Handler) scheduleSlotReview() {
	if h.uploadSlots.isDue || len(h.uploadSlots.holders) == 0 {
		return
	}
	h.uploadSlots.isDue = true
	time.AfterFunc(slotReviewInterval, h.reviewSlots)
}

// reviewSlots evicts stalled uploads, at most one for each request that is queued for their service, or was turned away since the last
// review.
func (h *Handler) reviewSlots() {
	var holders []*requestState
	h.uploadSlots.mu.Lock()
	for s := range h.uploadSlots.holders {
		holders = append(holders, s)
	}
	h.uploadSlots.isDue = false
	h.scheduleSlotReview()
	h.uploadSlots.mu.Unlock()
	needed := make(map[string]int)
	for _, s := range holders {
		if _, isKnown := needed[s.service]; !isKnown {
			needed[s.service] = h.Pool.QueuedRequests(s.service) + h.uploadSlots.takeTurnedAway(s.service)
		}
		if needed[s.service] > 0 && s.upload.EvictIfStalled(memorybudget.SlotNeeded) {
			needed[s.service]--
			h.uploadSlots.recordLoss(s.slotUser(), h.now())
		}
	}
}
