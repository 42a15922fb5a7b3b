package share

import (
	"math"
	"time"
)

// bucket is the state of one limit on one host. Parts are fractions of the
// whole limit; a host's part of it is both its share of the rate and of the
// burst, so the tokens that exist on all hosts never exceed the burst.
type bucket struct {
	limit Limit
	// level is the tokens left; used is the slots in use.
	level float64
	used  float64
	// filled is when level was last brought up to date.
	filled time.Duration
	// part is what the host may use of its own; target is its part in the
	// newest epoch, which it may use from raise on.
	part   float64
	target float64
	raise  time.Duration
	// homes are the hosts that hold the limit in the newest epoch.
	homes []ProcessID
	// removed is when the table dropped the limit, if gone.
	removed time.Duration
	gone    bool
	// generation changes when tokens taken before can't be given back;
	// returned counts those given back since.
	generation uint64
	returned   float64

	lent     []*lent
	borrowed []*borrowed
	demand   demand
}

// lent is a part that another host uses.
type lent struct {
	to ProcessID
	// as is the holder that the borrower asked, which may be an earlier process
	// of this host; the borrower counts it apart.
	as       ProcessID
	sequence uint64
	want     float64
	part     float64
	until    time.Duration
	// before is the part that the borrower held when it last asked, in use
	// until beforeUntil.
	before      float64
	beforeUntil time.Duration
	// recalled is when the borrower was last asked to give the part back.
	recalled time.Duration
}

// outstanding is the part that the borrower may be using.
func (l *lent) outstanding(now instant) float64 {
	part := 0.0
	if now.slow < l.until {
		part = l.part
	}
	if now.slow < l.beforeUntil {
		part = max(part, l.before)
	}
	return part
}

// borrowed is a part that another host lent.
type borrowed struct {
	from  ProcessID
	part  float64
	until time.Duration
	// peak is the largest part since the slots in use last fitted.
	peak float64
	// asked is when the last ask was sent, under this sequence, and whether its
	// answer is still awaited.
	asked    time.Duration
	sequence uint64
	waiting  bool
	// lowered says that the last answer took a part back, which the lender may
	// use only once it knows that the answer arrived.
	lowered bool
	// recalled says that the lender asked for the part; told is when the lender
	// was last told at once of a part taken back.
	recalled bool
	told     time.Duration
	want     float64
}

// settle brings the bucket up to date. A part that ended since the last call
// counts as ended then, and one that came back counts from its return.
func (b *bucket) settle(now instant, confirmed bool) {
	for next := b.nextGain(now.slow); next < now.slow; next = b.nextGain(now.slow) {
		b.fill(next, now, confirmed)
	}
	b.fill(now.slow, now, confirmed)
}

// nextGain is when the next lent part comes back or the part of a new epoch may
// be used, at most the end.
func (b *bucket) nextGain(end time.Duration) time.Duration {
	next := end
	if b.raise > b.filled {
		next = min(next, b.raise)
	}
	for _, l := range b.lent {
		if l.until > b.filled {
			next = min(next, l.until)
		}
		if l.beforeUntil > b.filled {
			next = min(next, l.beforeUntil)
		}
	}
	return next
}

// fill adds the tokens of the time up to the end, in which no part was gained.
func (b *bucket) fill(end time.Duration, now instant, confirmed bool) {
	begin := instant{
		slow: b.filled,
		fast: now.fast,
	}
	part := b.usable(begin, confirmed)
	passed := max(0, end-b.filled)
	b.filled = end
	b.level += part * b.limit.perSecond() * refill * passed.Seconds()
	b.clip(part)
	if b.filled >= b.raise {
		b.part = b.target
	}
}

// clip drops the tokens that exceed the part of the burst. Takes from before
// the bucket was half full can't be given back.
func (b *bucket) clip(part float64) {
	most := part * b.limit.size()
	if b.level > most/2 {
		b.forget()
	}
	b.level = min(b.level, most)
}

// forget ends the time in which earlier takes may be given back. Tokens that
// were taken before the bucket was half full might since have been replaced by
// others, and giving them back would make a burst above the limit.
func (b *bucket) forget() {
	b.generation++
	b.returned = 0
}

// ownPart is the host's own part without what is lent.
func (b *bucket) ownPart(now instant, confirmed bool) float64 {
	if !confirmed {
		return 0
	}
	return max(0, b.part-b.lentPart(now))
}

func (b *bucket) lentPart(now instant) float64 {
	sum := 0.0
	for _, l := range b.lent {
		sum += l.outstanding(now)
	}
	return sum
}

func (b *bucket) borrowedPart(now instant) float64 {
	sum := 0.0
	for _, l := range b.borrowed {
		if now.fast < l.until {
			sum += l.part
		}
	}
	return sum
}

// usable is the part of the limit that this host may use.
func (b *bucket) usable(now instant, confirmed bool) float64 {
	return b.ownPart(now, confirmed) + b.borrowedPart(now)
}

// available is how many tokens or slots can be granted.
func (b *bucket) available(now instant, confirmed bool) float64 {
	switch b.limit.Kind.(type) {
	case Slots:
		return b.usable(now, confirmed)*b.limit.size() - b.used
	default:
		return b.level
	}
}

// take grants the count or returns how long it takes to come back.
func (b *bucket) take(count float64, now instant, confirmed bool) (time.Duration, bool) {
	available := b.available(now, confirmed)
	if available+rounding >= count {
		b.spend(count)
		return 0, true
	}
	rate := b.usable(now, confirmed) * b.limit.perSecond() * refill
	if rate <= 0 {
		return EpochPollInterval, false
	}
	seconds := math.Min((count-available)/rate, ConfirmationTTL.Seconds())
	return time.Duration(seconds * float64(time.Second)), false
}

// rounding forgives the error of sums of fractions; it is in requests.
const rounding = 1e-9

func (b *bucket) spend(count float64) {
	if _, ok := b.limit.Kind.(Slots); ok {
		b.used += count
		return
	}
	b.level = max(0, b.level-count)
}

// giveBack returns unused tokens of a take of this generation. At most half a
// bucket comes back in one generation, so the level can't pass the limit.
func (b *bucket) giveBack(count float64, part float64) float64 {
	most := part * b.limit.size()
	accepted := max(0, min(count, most/2-b.returned, most-b.level))
	b.returned += accepted
	b.level += accepted
	return accepted
}

// adopt takes over the part of a new epoch: a loss at once, a gain after the
// wait.
func (b *bucket) adopt(part float64, now instant, confirmed bool, wait time.Duration) {
	b.settle(now, confirmed)
	if !confirmed {
		b.part = 0
	}
	b.target = part
	b.raise = now.slow
	if part > b.part {
		b.raise = now.slow + wait
	}
	b.part = min(b.part, part)
	if wait == 0 {
		b.part = part
	}
	b.clip(b.usable(now, true))
}
