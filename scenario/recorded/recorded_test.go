// Package recorded_test holds the product against recorded data: the messages
// that hosts send each other and the objects that they store, as an earlier
// build wrote them. What is under testdata never changes with the code; a test
// that fails here means that hosts of two versions, or a host and what is
// stored, no longer understand each other.
package recorded_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

// recorded returns what a recorded file holds.
func recorded(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", filepath.FromSlash(name)))
	require.NoError(t, err)
	require.NotEmpty(t, content)
	return content
}

// recordedLines returns the lines of a recorded file, without their ends.
func recordedLines(t *testing.T, name string) [][]byte {
	t.Helper()
	return bytes.Split(bytes.TrimSuffix(recorded(t, name), []byte("\n")), []byte("\n"))
}

// requireRecorded holds content against a recorded file, byte for byte.
func requireRecorded(t *testing.T, name string, content []byte) {
	t.Helper()
	require.Equal(t, string(recorded(t, name)), string(content))
}

// again decodes JSON as a value of the type and encodes the value.
func again[T any](content []byte) ([]byte, error) {
	var value T
	if err := json.Unmarshal(content, &value); err != nil {
		return nil, err
	}
	return json.Marshal(value)
}

// mask replaces what differs from run to run: each part that the first group of
// the pattern matches becomes a hash sign.
func mask(content []byte, patterns ...*regexp.Regexp) []byte {
	for _, pattern := range patterns {
		content = pattern.ReplaceAllFunc(content, func(found []byte) []byte {
			at := pattern.FindSubmatchIndex(found)
			return bytes.Join([][]byte{
				found[:at[2]],
				found[at[3]:],
			}, []byte("#"))
		})
	}
	return content
}
