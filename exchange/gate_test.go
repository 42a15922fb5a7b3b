package exchange_test

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"trefoilline.example/trefoilline/exchange"
)

// rapidSeed makes every run draw the same.
const rapidSeed = "1"

func init() {
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		panic(err)
	}
}

var errCut = errors.New("cut")

var anyServer = netip.MustParseAddrPort("192.0.2.1:80")

// slowReader waits before it reads, as a caller does that sends slowly.
type slowReader struct {
	io.Reader
	delay time.Duration
}

func (s *slowReader) Read(p []byte) (int, error) {
	time.Sleep(s.delay)
	return s.Reader.Read(p)
}

// cutConn lets so many bytes through, then fails or blocks.
type cutConn struct {
	net.Conn
	left   int
	blocks bool
	// delay comes before the bytes pass, lag between that and the report.
	delay   time.Duration
	lag     time.Duration
	passed  atomic.Int64
	closed  sync.Once
	closing chan struct{}
}

func (c *cutConn) Write(p []byte) (int, error) {
	time.Sleep(c.delay)
	n := min(c.left, len(p))
	c.left -= n
	c.passed.Add(int64(n))
	time.Sleep(c.lag)
	if n == len(p) {
		return n, nil
	}
	if c.blocks {
		<-c.closing
	}
	return n, errCut
}

func (c *cutConn) Read([]byte) (int, error) {
	<-c.closing
	return 0, errCut
}

func (c *cutConn) Close() error {
	c.closed.Do(func() { close(c.closing) })
	return nil
}

func (*cutConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (*cutConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (*cutConn) SetDeadline(time.Time) error      { return nil }
func (*cutConn) SetReadDeadline(time.Time) error  { return nil }
func (*cutConn) SetWriteDeadline(time.Time) error { return nil }

// TestNotRunOnlyIfNoBytePassed cuts, blocks and delays connections and cancels
// requests at random, and looks at what had passed when all was over.
func TestNotRunOnlyIfNoBytePassed(t *testing.T) {
	var notRun, unknown atomic.Int64
	rapid.Check(t, func(r *rapid.T) {
		left := rapid.SampledFrom([]int{0, 0, 1, 40, 200, 10_000}).Draw(r, "left")
		blocks := rapid.Bool().Draw(r, "blocks")
		dialDelay := time.Duration(rapid.IntRange(0, 3).Draw(r, "dial-delay")) * time.Millisecond
		writeDelay := time.Duration(rapid.IntRange(0, 3).Draw(r, "write-delay")) * time.Millisecond
		deadline := time.Duration(rapid.IntRange(1, 6).Draw(r, "deadline")) * time.Millisecond
		body := rapid.SliceOfN(rapid.Byte(), 0, 6000).Draw(r, "body")
		idempotent := rapid.Bool().Draw(r, "idempotent")
		lag := time.Duration(rapid.IntRange(0, 3).Draw(r, "lag")) * time.Millisecond
		readDelay := time.Duration(rapid.IntRange(0, 3).Draw(r, "read-delay")) * time.Millisecond
		synctest.Test(t, func(t *testing.T) {
			conn := &cutConn{
				left:    left,
				blocks:  blocks,
				delay:   writeDelay,
				lag:     lag,
				closing: make(chan struct{}),
			}
			client := &exchange.Client{
				Dial: func(_ context.Context, _, _ string) (net.Conn, error) {
					time.Sleep(dialDelay)
					return conn, nil
				},
			}
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			request := newRequest("r1", http.MethodPost, "/orders", nil)
			request.Body = &exchange.Stream{
				Reader: &slowReader{
					Reader: bytes.NewReader(body),
					delay:  readDelay,
				},
				Length: int64(len(body)),
			}
			request.Idempotent = idempotent
			outcome := client.Send(ctx, anyServer, request)
			time.Sleep(time.Second) // virtual: all late writers are through
			_ = conn.Close()
			synctest.Wait()
			switch outcome.(type) {
			case exchange.NotRun:
				notRun.Add(1)
				require.Zero(t, conn.passed.Load())
			case *exchange.Unknown:
				unknown.Add(1)
			default:
				require.Fail(t, "an answer from nowhere")
			}
		})
	})
	t.Logf("not run %d, unknown %d", notRun.Load(), unknown.Load())
	require.Positive(t, notRun.Load())
	require.Positive(t, unknown.Load())
}
