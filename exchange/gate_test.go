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

// rapidSeed makes rapid draw the same values in every run.
const rapidSeed = "1"

func init() {
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		panic(err)
	}
}

var errWriteLimit = errors.New("write limit reached")

var testServer = netip.MustParseAddrPort("192.0.2.1:80")

// slowReader waits before each read, like a caller that sends its body slowly.
type slowReader struct {
	io.Reader
	delay time.Duration
}

func (s *slowReader) Read(p []byte) (int, error) {
	time.Sleep(s.delay)
	return s.Reader.Read(p)
}

// limitedConn is a connection that accepts a limited number of bytes. A write
// beyond that fails; if blocks is set, only once Close is called.
type limitedConn struct {
	net.Conn
	remaining int
	blocks    bool
	// writeDelay is the wait before the bytes of a write are counted,
	// returnDelay the wait between that and the return of Write.
	writeDelay  time.Duration
	returnDelay time.Duration
	written     atomic.Int64
	closeOnce   sync.Once
	closed      chan struct{}
}

func (c *limitedConn) Write(p []byte) (int, error) {
	time.Sleep(c.writeDelay)
	n := min(c.remaining, len(p))
	c.remaining -= n
	c.written.Add(int64(n))
	time.Sleep(c.returnDelay)
	if n == len(p) {
		return n, nil
	}
	if c.blocks {
		<-c.closed
	}
	return n, errWriteLimit
}

func (c *limitedConn) Read([]byte) (int, error) {
	<-c.closed
	return 0, errWriteLimit
}

func (c *limitedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

func (*limitedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (*limitedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (*limitedConn) SetDeadline(time.Time) error      { return nil }
func (*limitedConn) SetReadDeadline(time.Time) error  { return nil }
func (*limitedConn) SetWriteDeadline(time.Time) error { return nil }

// TestNotRunOnlyIfNoByteWasWritten guards against a request that is reported as
// not run although a part of it was sent. It limits, blocks and delays connections
// and lets requests time out at random, and counts the bytes written once all late
// writes are done.
func TestNotRunOnlyIfNoByteWasWritten(t *testing.T) {
	var notRun, unknown atomic.Int64
	rapid.Check(t, func(r *rapid.T) {
		remaining := rapid.SampledFrom([]int{0, 0, 1, 40, 200, 10_000}).Draw(r, "left")
		blocks := rapid.Bool().Draw(r, "blocks")
		dialDelay := time.Duration(rapid.IntRange(0, 3).Draw(r, "dial-delay")) * time.Millisecond
		writeDelay := time.Duration(rapid.IntRange(0, 3).Draw(r, "write-delay")) * time.Millisecond
		timeout := time.Duration(rapid.IntRange(1, 6).Draw(r, "deadline")) * time.Millisecond
		body := rapid.SliceOfN(rapid.Byte(), 0, 6000).Draw(r, "body")
		idempotent := rapid.Bool().Draw(r, "idempotent")
		returnDelay := time.Duration(rapid.IntRange(0, 3).Draw(r, "lag")) * time.Millisecond
		readDelay := time.Duration(rapid.IntRange(0, 3).Draw(r, "read-delay")) * time.Millisecond
		synctest.Test(t, func(t *testing.T) {
			conn := &limitedConn{
				remaining:   remaining,
				blocks:      blocks,
				writeDelay:  writeDelay,
				returnDelay: returnDelay,
				closed:      make(chan struct{}),
			}
			client := &exchange.Client{
				Dial: func(_ context.Context, _, _ string) (net.Conn, error) {
					time.Sleep(dialDelay)
					return conn, nil
				},
			}
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
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
			outcome := client.Send(ctx, testServer, request)
			time.Sleep(time.Second) // virtual time, in which all late writes end
			_ = conn.Close()
			synctest.Wait()
			switch outcome.(type) {
			case exchange.NotRun:
				notRun.Add(1)
				require.Zero(t, conn.written.Load())
			case *exchange.Unknown:
				unknown.Add(1)
			default:
				require.Fail(t, "response without a server")
			}
		})
	})
	t.Logf("not run %d, unknown %d", notRun.Load(), unknown.Load())
	require.Positive(t, notRun.Load())
	require.Positive(t, unknown.Load())
}
