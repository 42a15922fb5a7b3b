package quota_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/quota"
)

func said(part int, version uint64) quota.PartStatement {
	return quota.PartStatement{
		Part:    part,
		Version: version,
	}
}

// TestPartStatementsOutliveARestart guards against a part that is forgotten because the next process of its host, which has none
// yet, is heard, and against one that is kept although its host gave it up.
func TestPartStatementsOutliveARestart(t *testing.T) {
	var s quota.PartStatements
	s.Note("a", 1, said(0, 0))
	require.Zero(t, s.Of("a"))
	s.Note("a", 1, said(500, 7))
	s.Note("a", 2, said(0, 0))
	require.Equal(t, said(500, 7), s.Of("a"))
	s.Note("a", 2, said(400, 7))
	s.Note("a", 2, said(500, 7))
	require.Equal(t, said(400, 7), s.Of("a"), "less is used since")
	s.Note("a", 2, said(900, 6))
	require.Equal(t, said(400, 7), s.Of("a"), "a late message")
	s.Note("a", 2, said(300, 8))
	require.Equal(t, said(300, 8), s.Of("a"))
	s.Note("a", 2, said(0, 8))
	require.Zero(t, s.Of("a").Part)
}

// TestPartIsRecoveredOnlyIfNoOtherHostCanUseIt guards against two hosts that use the same fraction of a rate: one that restarts while
// the store does not respond, and one that was given what the first gave up.
func TestPartIsRecoveredOnlyIfNoOtherHostCanUseIt(t *testing.T) {
	half := quota.WholePart / 2
	b, c := []string{"b"}, []string{"b", "c"}
	for name, test := range map[string]struct {
		members []string
		answers map[string]quota.PartAnswer
		part    int
	}{
		"no other host": {},
		"no answer": {
			members: b,
		},
		"nothing is known": {
			members: b,
			answers: map[string]quota.PartAnswer{"b": {Members: b}},
		},
		"the others use what is left": {
			members: b,
			answers: map[string]quota.PartAnswer{"b": {Statement: said(half, 7), RecordVersion: 7, Part: half, Members: b}},
			part:    half,
		},
		"the copy of the records is older": {
			members: b,
			answers: map[string]quota.PartAnswer{"b": {Statement: said(half, 7), RecordVersion: 3, Members: b}},
			part:    half,
		},
		"one of two has not answered": {
			members: c,
			answers: map[string]quota.PartAnswer{"b": {Statement: said(half, 7), Members: b}},
		},
		"only the other one knows the one that has not answered": {
			members: b,
			answers: map[string]quota.PartAnswer{"b": {Statement: said(half, 7), Members: c}},
		},
		"the other one knows a later record, in which the part may be smaller": {
			members: c,
			answers: map[string]quota.PartAnswer{
				"b": {Statement: said(half, 7), Members: c},
				"c": {RecordVersion: 8, Members: c},
			},
		},
		"the other one heard of a smaller part": {
			members: c,
			answers: map[string]quota.PartAnswer{
				"b": {Statement: said(half, 7), Members: c},
				"c": {Statement: said(half/2, 8), Part: half, Members: c},
			},
			part: half / 2,
		},
		"the other one heard of a smaller part of the same record": {
			members: c,
			answers: map[string]quota.PartAnswer{
				"b": {Statement: said(half, 7), Members: c},
				"c": {Statement: said(half/2, 7), Members: c},
			},
			part: half / 2,
		},
		"the others use more than the rest": {
			members: b,
			answers: map[string]quota.PartAnswer{"b": {Statement: said(half, 7), Part: half + 1, Members: b}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			recovered, isRecovered := quota.RecoverPart("a", test.members, test.answers)
			require.Equal(t, test.part > 0, isRecovered)
			require.Equal(t, test.part, recovered.Part)
		})
	}
}
