package backend

import (
	"sync"

	"trefoilline.example/trefoilline/share"
)

// Shared is the [Slots] that the host's holder has a part of. It is safe for
// concurrent use.
type Shared struct {
	Holder *share.Limiter

	mu     sync.Mutex
	grants map[string][]share.Grant
}

// Acquire takes a slot from the holder.
func (s *Shared) Acquire(service, region string) bool {
	name := SlotLimit(service, region)
	granted, ok := s.Holder.Acquire(name, 1).(share.Granted)
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.grants == nil {
		s.grants = make(map[string][]share.Grant)
	}
	s.grants[name] = append(s.grants[name], granted.Grant)
	return true
}

// Release gives a slot back to the holder. The slots of a region are alike, so
// it need not be the one that the request took.
func (s *Shared) Release(service, region string) {
	name := SlotLimit(service, region)
	s.mu.Lock()
	held := s.grants[name]
	if len(held) == 0 {
		s.mu.Unlock()
		return
	}
	last := held[len(held)-1]
	s.grants[name] = held[:len(held)-1]
	s.mu.Unlock()
	s.Holder.Release(last)
}
