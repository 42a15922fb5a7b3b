// Package recorded_test checks the compatibility of messages and stored objects.
// It compares what this build sends and stores with what an earlier build sent and
// stored. Do not regenerate the files under testdata: a failing test means that
// hosts of two versions, or a host and the stored data, no longer understand each
// other.
//
// The tests run package code and two programs: the daemon of internal/daemon with
// the project's own object store, and the host of internal/host with a stand-in of
// the users' platform.
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

// readRecording returns the content of a recorded file.
func readRecording(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", filepath.FromSlash(name)))
	require.NoError(t, err)
	require.NotEmpty(t, content)
	return content
}

// readRecordedLines returns the lines of a recorded file, without line breaks.
func readRecordedLines(t *testing.T, name string) [][]byte {
	t.Helper()
	return bytes.Split(bytes.TrimSuffix(readRecording(t, name), []byte("\n")), []byte("\n"))
}

// requireEqualsRecording compares content with a recorded file, byte for byte.
func requireEqualsRecording(t *testing.T, name string, content []byte) {
	t.Helper()
	require.Equal(t, string(readRecording(t, name)), string(content))
}

// roundTripJSON decodes JSON into a value of type T and encodes the value.
func roundTripJSON[T any](content []byte) ([]byte, error) {
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
