package quota

import (
	"maps"
	"slices"
	"sync"
)

// PartStatement is a part of the rates that a host may use, and the version of the record that states it.
type PartStatement struct {
	Part    int    `json:"part"`
	Version uint64 `json:"version"`
}

// PartStatements keeps what each host said last of its part, so that it has it again after a restart even if the store
// does not respond and no copy has its record. It is safe for concurrent use. The zero value is empty.
type PartStatements struct {
	mu     sync.Mutex
	byHost map[string]heardStatement
}

type heardStatement struct {
	PartStatement
	incarnation uint64
}

// Note keeps what a process of a host says. The highest version counts; of what is said of the same version, the least. A process
// that says that it has no part revokes what it said itself, not what an earlier process said.
func (s *PartStatements) Note(host string, incarnation uint64, statement PartStatement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, isKnown := s.byHost[host]
	switch {
	case statement.Part == 0 && (!isKnown || last.incarnation != incarnation):
		return
	case statement.Part == 0:
		last.Part = 0
	case !isKnown || statement.Version > last.Version:
		last.PartStatement = statement
	case statement.Version < last.Version:
		return
	default:
		last.Part = min(last.Part, statement.Part)
	}
	last.incarnation = incarnation
	if s.byHost == nil {
		s.byHost = make(map[string]heardStatement)
	}
	s.byHost[host] = last
}

// Keep forgets what all other hosts said.
func (s *PartStatements) Keep(hosts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.byHost, func(name string, _ heardStatement) bool { return !slices.Contains(hosts, name) })
}

// Of returns what a host said last, zero if nothing is known.
func (s *PartStatements) Of(host string) PartStatement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byHost[host].PartStatement
}

// PartAnswer is what another host knows of one that has started again while the store does not respond.
type PartAnswer struct {
	// Statement is what the asking host's processes said last of their part.
	Statement PartStatement `json:"statement"`
	// RecordVersion is the version of the asking host's record in the copy of the answering one, zero if it has none.
	RecordVersion uint64 `json:"record-version"`
	// Part is the part that the answering host may use.
	Part int `json:"part"`
	// Holders is the hash of the hosts among which the answering host counts the rates as divided.
	Holders uint64 `json:"holders,omitempty"`
	// Members are the names of the hosts that may be running, as far as the answering one knows.
	Members []string `json:"members"`
}

// RecoverPart returns the part that a host that has started again may use, and false if the answers do not show that it may use
// any.
//
// A host that has used a part since the asking one gave it up has seen the record that gave it up, whose version is higher. So the
// part is used only if all hosts that may be running have answered, none of them knows a higher version, and the parts in use add
// up to no more than the whole.
func RecoverPart(self string, members []string, answers map[string]PartAnswer) (PartStatement, bool) {
	var newest PartStatement
	var newestRecord uint64
	inUse := 0
	if !hasAll(self, members, answers) {
		return PartStatement{}, false
	}
	for _, answer := range answers {
		if !hasAll(self, answer.Members, answers) {
			return PartStatement{}, false
		}
		switch said := answer.Statement; {
		case said.Version > newest.Version:
			newest = said
		case said.Version == newest.Version:
			newest.Part = min(newest.Part, said.Part)
		}
		newestRecord = max(newestRecord, answer.RecordVersion)
		inUse += answer.Part
	}
	isValid := newest.Part > 0 && newest.Version >= newestRecord && inUse+newest.Part <= WholePart
	if !isValid {
		return PartStatement{}, false
	}
	return newest, true
}

// hasAll reports whether all the members but this host have answered.
func hasAll(self string, members []string, answers map[string]PartAnswer) bool {
	for _, name := range members {
		if _, hasAnswered := answers[name]; name != self && !hasAnswered {
			return false
		}
	}
	return true
}
