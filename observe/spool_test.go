package observe_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/observe"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	taken   bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.taken.Write(p)
}

// TestAnOutputThatIsNotReadBlocksNoWriter writes more lines than wait for an output
// that takes none: the rest is counted, and told once the output is read.
func TestAnOutputThatIsNotReadBlocksNoWriter(t *testing.T) {
	const lines = 10_000
	out := &stuck{
		release: make(chan struct{}),
	}
	spool := observe.NewAsyncWriter(out)
	for range lines {
		n, err := spool.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	dropped := spool.Dropped()
	require.Greater(t, dropped, uint64(lines/2))
	close(out.release)
	spool.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	text := out.taken.String()
	require.Equal(t, lines-int(dropped), strings.Count(text, "line\n"))
	require.Equal(t, 1, strings.Count(text, observe.LogLinesDropped.Name))
	_, err := spool.Write([]byte("late\n"))
	require.NoError(t, err)
	require.Equal(t, uint64(1), spool.Dropped())
}
