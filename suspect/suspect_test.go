package suspect_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/suspect"
)

var (
	first  = netip.MustParseAddrPort("10.0.0.1:80")
	second = netip.MustParseAddrPort("10.0.0.2:80")
)

func newRequest(path string, body exchange.Body) *exchange.Request {
	return &exchange.Request{
		Method: http.MethodPost,
		URL: &url.URL{
			Path: path,
		},
		Body: body,
	}
}

func bytes(text string) *exchange.Bytes {
	return &exchange.Bytes{
		Content: []byte(text),
	}
}

func TestOtherRequestsGoOn(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	list := &suspect.Detector{
		Clock: func() time.Time { return now },
	}
	poison := newRequest("/orders", bytes("a"))
	list.Lost(poison, first)
	list.Lost(poison, first)
	require.False(t, list.Refuses(poison), "one server was lost, once")
	list.Lost(poison, second)
	require.True(t, list.Refuses(newRequest("/orders", bytes("a"))))
	require.False(t, list.Refuses(newRequest("/orders", bytes("b"))))
	require.False(t, list.Refuses(newRequest("/stock", bytes("a"))))
	now = now.Add(suspect.DefaultRetention + time.Second)
	require.False(t, list.Refuses(poison))
	require.Empty(t, list.Reports())
}

func TestRestartedServerCountsAgain(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	list := &suspect.Detector{
		Clock: func() time.Time { return now },
	}
	poison := newRequest("/orders", &exchange.Stream{
		Length: 100_000,
		Prefix: []byte("head"),
	})
	list.Lost(poison, first)
	now = now.Add(5 * time.Second)
	list.Lost(poison, first)
	require.True(t, list.Refuses(poison))
}

func TestLossesAreSharedInAnyOrderAnyNumberOfTimes(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var sent []suspect.Report
	clock := func() time.Time { return now }
	origin := &suspect.Detector{
		Clock:     clock,
		Broadcast: func(loss suspect.Report) { sent = append(sent, loss) },
	}
	poison := newRequest("/orders", nil)
	origin.Lost(poison, first)
	origin.Lost(poison, second)
	encoded, err := json.Marshal(sent)
	require.NoError(t, err)
	var received []suspect.Report
	require.NoError(t, json.Unmarshal(encoded, &received))
	other := &suspect.Detector{
		Clock: clock,
	}
	for range 3 {
		other.AddReport(received[1])
		other.AddReport(received[0])
	}
	require.Equal(t, 2, other.CrashCount(suspect.FingerprintOf(poison)))
	require.Equal(t, origin.Reports(), received)
	var f suspect.Fingerprint
	var wrong *suspect.FingerprintError
	require.ErrorAs(t, f.UnmarshalText([]byte("12zz")), &wrong)
}

// TestListStaysConsistent adds losses and clearances of few requests in any
// order, to a small list.
func TestListStaysConsistent(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	list := &suspect.Detector{
		MaxReports: 8,
		Retention:  time.Minute,
		Clock:      func() time.Time { return now },
	}
	for range 20_000 {
		now = now.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
		loss := suspect.Report{
			Fingerprint: suspect.Fingerprint{byte(random.IntN(4))},
			Server:      first,
			ObservedAt:  now.Add(-time.Duration(random.IntN(70)) * time.Second),
			Cleared:     random.IntN(3) == 0,
		}
		list.AddReport(loss)
		require.LessOrEqual(t, len(list.Reports()), 8)
		for _, known := range list.Reports() {
			if loss.Cleared && known.Fingerprint == loss.Fingerprint && now.Sub(loss.ObservedAt) <= time.Minute {
				require.False(t, known.ObservedAt.Before(loss.ObservedAt))
			}
		}
	}
}

func TestListIsBounded(t *testing.T) {
	list := &suspect.Detector{
		MaxReports: 10,
	}
	for n := range 100 {
		list.Lost(newRequest(fmt.Sprint("/", n), nil), first)
	}
	require.Len(t, list.Reports(), 10)
	require.Equal(t, 1, list.CrashCount(suspect.FingerprintOf(newRequest("/99", nil))))
}

// TestEqualRequestsOfManyCallersGoOn drops connections of requests that are
// alike, to servers that live: none of them may be refused for that.
func TestEqualRequestsOfManyCallersGoOn(t *testing.T) {
	list := &suspect.Detector{
		IsReachable: func(netip.AddrPort) bool { return true },
	}
	list.Lost(newRequest("/orders", bytes("chalk")), first)
	list.Lost(newRequest("/orders", bytes("chalk")), second)
	require.False(t, list.Refuses(newRequest("/orders", bytes("chalk"))))
}

// TestRequestIsKnownOnEveryHost sends the same request to two entry hosts.
func TestRequestIsKnownOnEveryHost(t *testing.T) {
	here := newRequest("/orders", bytes("chalk"))
	here.Host = "10.0.0.1:8080"
	there := newRequest("/orders", bytes("chalk"))
	there.Host = "10.0.0.2:8080"
	require.Equal(t, suspect.FingerprintOf(here), suspect.FingerprintOf(there))
}

// TestPopularRequestIsNotBlamedForOrdinaryCrashes has two backend servers die in
// ten minutes with the same popular request running on both, which is answered
// in between as ever.
func TestPopularRequestIsNotBlamedForOrdinaryCrashes(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	lists := make([]*suspect.Detector, 2)
	for i := range lists {
		lists[i] = &suspect.Detector{
			Clock: func() time.Time { return now },
			Broadcast: func(loss suspect.Report) {
				encoded, err := json.Marshal(loss)
				require.NoError(t, err)
				var received suspect.Report
				require.NoError(t, json.Unmarshal(encoded, &received))
				lists[1-i].AddReport(received)
			},
		}
	}
	popular := newRequest("/stock", nil)
	lists[0].Lost(popular, first)
	require.Equal(t, 1, lists[1].CrashCount(suspect.FingerprintOf(popular)))
	late := lists[0].Reports()[0]
	now = now.Add(time.Minute)
	lists[0].Answered(popular)
	lists[1].AddReport(late)
	now = now.Add(time.Minute)
	lists[1].Lost(popular, second)
	for _, list := range lists {
		require.Equal(t, 1, list.CrashCount(suspect.FingerprintOf(popular)))
		require.False(t, list.Refuses(popular))
	}
	now = now.Add(time.Minute)
	lists[0].Lost(popular, first)
	require.True(t, lists[1].Refuses(popular))
}
