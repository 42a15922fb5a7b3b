package jsonparts_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/jsonparts"
)

// TestMalformedContentIsAnError guards against parts that are mistaken for those of a list which was
// cut off or is no JSON.
func TestMalformedContentIsAnError(t *testing.T) {
	for _, content := range []string{`{`, `{"a"`, `{"a" 1}`, `{"a":}`, `{"a":1,}`, `{"a":1 "b":2}`, `{a:1}`, `{"a":[}`, `{"a":"\"}`, `{"a":1]`, `[`, `[1`, `[1 2]`, `[,]`, `[1,]`, `[:]`, `["a]`, `[{"a":1]`, `[1}`} {
		split := func() error {
			_, err := jsonparts.Array([]byte(content))
			return err
		}
		if content[0] == '{' {
			split = func() error {
				_, err := jsonparts.Object([]byte(content))
				return err
			}
		}
		require.Error(t, split(), content)
	}
}

// TestValuesInsidePartsTakeNoMemory guards against hosts that take so long for a list with one large entry that
// they count the store as lost: the time went to a copy of each value in each entry.
func TestValuesInsidePartsTakeNoMemory(t *testing.T) {
	const (
		depth          = 20_000
		maxAllocations = 100
	)
	content := []byte(`{"odd":` + strings.Repeat(`["text",1,`, depth) + "0" + strings.Repeat("]", depth) + `,"sound":"text"}`)
	require.Less(t, testing.AllocsPerRun(1, func() {
		members, err := jsonparts.Object(content)
		require.NoError(t, err)
		require.Equal(t, `"text"`, string(members["sound"]))
	}), float64(maxAllocations))
}

// FuzzPartsAreThoseOfTheLibrary compares the parts with those that the standard library finds.
func FuzzPartsAreThoseOfTheLibrary(f *testing.F) {
	for _, content := range []string{`{"a": [1, {"b": "]}"}], "a":1e400 }`, `[ 1 ,"\"]", {"a" : []} ]`, `[]`, `{}`, `null`, ``, `7`, `{"a"`, `[1`} {
		f.Add([]byte(content))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		var wantMembers map[string]json.RawMessage
		members, err := jsonparts.Object(content)
		if json.Unmarshal(content, &wantMembers) == nil && wantMembers != nil {
			require.NoError(t, err)
			require.Equal(t, wantMembers, members)
		}
		var wantElements []json.RawMessage
		elements, err := jsonparts.Array(content)
		if json.Unmarshal(content, &wantElements) == nil && wantElements != nil {
			require.NoError(t, err)
			require.Len(t, elements, len(wantElements))
			for i := range elements {
				require.Equal(t, string(wantElements[i]), string(elements[i]))
			}
		}
	})
}
