package exchange_test

import (
	"bytes"
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

var kinds = map[string]kind{
	"post": {
		method: http.MethodPost,
		body:   bytes.Repeat([]byte("x"), 1000),
	},
	"post-with-key": {
		method: http.MethodPost,
		body:   bytes.Repeat([]byte("x"), 1000),
		key:    "order-1",
	},
	"empty-post-with-key": {
		method: http.MethodPost,
		key:    "order-1",
	},
	"get-once": {
		method: http.MethodGet,
	},
	"get": {
		method:     http.MethodGet,
		idempotent: true,
	},
	"idempotent-empty-post-with-key": {
		method:     http.MethodPost,
		key:        "order-1",
		idempotent: true,
	},
}

var dropPoints = []backend.DropPoint{
	backend.DropBefore,
	backend.DropIn,
	backend.DropAfter,
	backend.DropInAnswer,
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
	for kindName, k := range kinds {
		for _, point := range dropPoints {
			server := &backend.Server{}
			address := start(t, server)
			for range 2 {
				require.True(t, send(address, "warm-up", k).whole)
			}
			server.SetFaults(backend.Faults{
				Drop:      point,
				DropCount: 1,
			})
			name := fmt.Sprintf("%s-%s", kindName, point)
			v := send(address, name, k)
			runs := server.Record().Runs[name]
			f.sent++
			f.rerun += max(runs-1, 0)
			if v.notRun && runs > 0 {
				f.falseNotRun++
			}
			if v.whole && point == backend.DropInAnswer && runs == 1 {
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
		request.Header.Set(header.Request, name)
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
		case *exchange.Answered:
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
		sent: len(kinds) * len(dropPoints),
	}, gated)
}

func TestOnceRequestIsNotSentAgainAfterUnknown(t *testing.T) {
	first, second := &backend.Server{}, &backend.Server{}
	first.SetFaults(backend.Faults{
		Drop: backend.DropAfter,
	})
	client := newClient(t)
	request := newRequest("r1", http.MethodPost, "/orders", []byte("x"))
	require.IsType(t, &exchange.Unknown{}, client.Send(t.Context(), start(t, first), request))
	outcome := client.Send(t.Context(), start(t, second), request)
	require.Equal(t, exchange.AlreadySent, outcome.(*exchange.Unknown).Reason)
	require.IsType(t, &exchange.Unknown{}, request.Withhold(exchange.Withheld))
	require.Zero(t, second.Record().Total)
}
