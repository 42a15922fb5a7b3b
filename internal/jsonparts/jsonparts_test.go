package jsonparts_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/jsonparts"
)

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
