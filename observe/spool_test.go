package observe_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/observe"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

// TestAsyncWriterDropsAndCountsLinesWhenOutputBlocks writes more lines than fit into the
// buffer while the output blocks: the others are dropped and counted, and the count is
// logged once the output accepts writes again.
func TestAsyncWriterDropsAndCountsLinesWhenOutputBlocks(t *testing.T) {
	const lines = 10_000
	out := &blockedWriter{
		release: make(chan struct{}),
	}
	writer := observe.NewAsyncWriter(out)
	for range lines {
		n, err := writer.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	dropped := writer.Dropped()
	require.Greater(t, dropped, uint64(lines/2))
	close(out.release)
	writer.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	text := out.written.String()
	require.Equal(t, lines-int(dropped), strings.Count(text, "line\n"))
	require.Equal(t, 1, strings.Count(text, observe.LogLinesDropped.Name))
	_, err := writer.Write([]byte("late\n"))
	require.NoError(t, err)
	require.Equal(t, uint64(1), writer.Dropped())
}
