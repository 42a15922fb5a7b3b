package backend

import (
	"sync"

	"trefoilline.example/trefoilline/globallimit"
)

// SharedSlotLimiter is a [SlotLimiter] for fleet-wide limits.
// Its globallimit.Limiter holds this host's share of each limit. It is safe for
// concurrent use.
type SharedSlotLimiter struct {
	Limiter *globallimit.Limiter

	mu     sync.Mutex
	grants map[string][]globallimit.Grant
}

// Acquire takes a slot of this host's share of the region's limit, if one is
// free.
func (s *SharedSlotLimiter) Acquire(service, region string) bool {
	name := SlotLimitName(service, region)
	granted, ok := s.Limiter.Acquire(name, 1).(globallimit.Granted)
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.grants == nil {
		s.grants = make(map[string][]globallimit.Grant)
	}
	s.grants[name] = append(s.grants[name], granted.Grant)
	return true
}

// Release returns a slot to the limiter. The slots of a region are interchangeable, so
// the slot returned may be another than the one that the request acquired.
func (s *SharedSlotLimiter) Release(service, region string) {
	name := SlotLimitName(service, region)
	s.mu.Lock()
	held := s.grants[name]
	if len(held) == 0 {
		s.mu.Unlock()
		return
	}
	last := held[len(held)-1]
	s.grants[name] = held[:len(held)-1]
	s.mu.Unlock()
	s.Limiter.Release(last)
}
