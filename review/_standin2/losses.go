package main

import "sync"

const (
	// maxLost is how many such requests of a machine LOST allows.
	maxLost = 3
	// faultEnds on faultMachines machines are what Fault names.
	faultEnds, faultMachines = 3, 2
)

// losses counts, by host, the requests from kept connections that ran at a sound server and whose connection the host closed without an
// answer.
type losses struct {
	record *record
	ran    *ranAt

	mu   sync.Mutex
	lost map[*host]int
}

// note writes a request into the record.
func (l *losses) note(a *attempt) {
	b := l.ran.of(a.id)
	server := "no sound server"
	if b != nil {
		server = b.id + " of " + b.service
	}
	l.record.line("request %s (%s) to %s, kept connection %v: answer %d%s after %.3f s; ran at: %s",
		a.id, a.kind.name, a.host.name, a.kept, a.status, a.ended, a.took.Seconds(), server)
	if a.kept && a.ended == closedByHost && b != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.lost[a.host]++
	}
}

// judge returns the exit status of a case about LOST.
func (l *losses) judge(hosts []*host) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	isLost, faulty := false, 0
	for _, h := range hosts {
		ends := h.endCount()
		if ends >= faultEnds {
			faulty++
		}
		isLost = isLost || l.lost[h] > maxLost
		l.record.say("%s: its process ended %d times, at most %d kB; %d requests from kept connections that ran at sound servers had their connection closed without an answer",
			h.name, ends, h.peak(), l.lost[h])
	}
	l.record.say("Fault (three ends on two machines): %v", faulty >= faultMachines)
	l.record.say("LOST (more than three at one machine): %v", isLost)
	if isLost {
		return broken
	}
	return held
}
