package exchange_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/internal/standin/backend"
)

// kind is a request that net/http treats in a way of its own.
type kind struct {
	method     string
	body       []byte
	key        string
	idempotent bool
}

// kinds combines methods, bodies, keys and routes.
func kinds() map[string]kind {
	all := make(map[string]kind)
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		for _, size := range []int{0, 1000} {
			for _, key := range []string{"", "order-1"} {
				for _, idempotent := range []bool{false, true} {
					name := fmt.Sprintf("%s-%d-%s-%t", method, size, key, idempotent)
					all[name] = kind{
						method:     method,
						body:       bytes.Repeat([]byte("x"), size),
						key:        key,
						idempotent: idempotent,
					}
				}
			}
		}
	}
	return all
}

var dropPoints = []backend.DropPoint{
	backend.DropBeforeBody,
	backend.DropDuringBody,
	backend.DropBeforeResponse,
	backend.DropDuringResponse,
}

// verdict is what a client says of a request.
type verdict struct {
	notRun bool
	whole  bool
}

type sendFunc func(address netip.AddrPort, name string, k kind) verdict

// dropFigures counts what must not happen.
type dropFigures struct {
	sent, rerun, falseNotRun, falseWhole int
}

// measureDrops sends each kind of request on a connection that has carried one
// before, and has it dropped once at each point.
func measureDrops(t *testing.T, send sendFunc) dropFigures {
	var f dropFigures
	for kindName, k := range kinds() {
		for _, point := range dropPoints {
			server := &backend.Server{}
			address := start(t, server)
			for range 2 {
				require.True(t, send(address, "warm-up", k).whole)
			}
			server.SetFaults(backend.Faults{
				DropAt:   point,
				MaxDrops: 1,
			})
			name := fmt.Sprintf("%s-%s", kindName, point)
			v := send(address, name, k)
			runs := server.RequestLog().RunCounts[name]
			f.sent++
			f.rerun += max(runs-1, 0)
			if v.notRun && runs > 0 {
				f.falseNotRun++
			}
			if v.whole && point == backend.DropDuringResponse && runs == 1 {
				f.falseWhole++
			}
		}
	}
	return f
}

// sendNaive is an http.Client that takes an error for "not run".
func sendNaive(client *http.Client) sendFunc {
	return func(address netip.AddrPort, name string, k kind) verdict {
		request, err := http.NewRequest(k.method, "http://"+address.String()+"/orders", bytes.NewReader(k.body))
		if err != nil {
			return verdict{}
		}
		request.Header.Set(header.RequestID, name)
		if k.key != "" {
			request.Header.Set(header.IdempotencyKey, k.key)
		}
		response, err := client.Do(request)
		if err != nil {
			return verdict{
				notRun: true,
			}
		}
		defer response.Body.Close()
		_, _ = io.ReadAll(response.Body)
		return verdict{
			whole: true,
		}
	}
}

func sendGated(t *testing.T, client *exchange.Client) sendFunc {
	return func(address netip.AddrPort, name string, k kind) verdict {
		request := newRequest(name, k.method, "/orders", k.body)
		request.Idempotent = k.idempotent
		if k.key != "" {
			request.Header.Set(header.IdempotencyKey, k.key)
		}
		switch o := client.Send(t.Context(), address, request).(type) {
		case *exchange.Response:
			defer o.Close()
			_, err := io.ReadAll(o)
			return verdict{
				whole: err == nil,
			}
		case exchange.NotRun:
			return verdict{
				notRun: true,
			}
		}
		return verdict{}
	}
}

func TestDroppedConnectionsRunNothingTwice(t *testing.T) {
	naive := measureDrops(t, sendNaive(&http.Client{
		Transport: &http.Transport{},
	}))
	gated := measureDrops(t, sendGated(t, newClient(t)))
	t.Logf("plain http.Client: %+v", naive)
	t.Logf("exchange.Client: %+v", gated)
	require.Positive(t, naive.rerun)
	require.Positive(t, naive.falseNotRun)
	require.Positive(t, naive.falseWhole)
	require.Equal(t, dropFigures{
		sent: len(kinds()) * len(dropPoints),
	}, gated)
}

// TestLostAnswerIsToldFromAnAbandonedOne has a server break its answer, and a
// caller go away from one that has not ended.
func TestLostAnswerIsToldFromAnAbandonedOne(t *testing.T) {
	client := newClient(t)
	for _, isLost := range []bool{true, false} {
		server := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			if isLost {
				panic(http.ErrAbortHandler)
			}
			<-r.Context().Done()
		}))
		ctx, cancel := context.WithCancel(t.Context())
		answered, isAnswered := client.Send(ctx, server, newRequest("r1", http.MethodGet, "/", nil)).(*exchange.Response)
		require.True(t, isAnswered)
		if !isLost {
			cancel()
		}
		_, err := io.ReadAll(answered)
		require.Error(t, err)
		require.Equal(t, isLost, answered.BrokenByServer())
		answered.Close()
		cancel()
	}
}

func TestOnceRequestIsNotSentAgainAfterUnknown(t *testing.T) {
	first, second := &backend.Server{}, &backend.Server{}
	first.SetFaults(backend.Faults{
		DropAt: backend.DropBeforeResponse,
	})
	client := newClient(t)
	request := newRequest("r1", http.MethodPost, "/orders", []byte("x"))
	require.IsType(t, &exchange.Unknown{}, client.Send(t.Context(), start(t, first), request))
	outcome := client.Send(t.Context(), start(t, second), request)
	require.Equal(t, exchange.AlreadySent, outcome.(*exchange.Unknown).Reason)
	require.IsType(t, &exchange.Unknown{}, request.Reject(exchange.Rejected))
	require.Zero(t, second.RequestLog().TotalRuns)
}
