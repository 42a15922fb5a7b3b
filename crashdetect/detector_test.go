package crashdetect_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/crashdetect"
	"trefoilline.example/trefoilline/exchange"
)

var (
	firstServer  = netip.MustParseAddrPort("10.0.0.1:80")
	secondServer = netip.MustParseAddrPort("10.0.0.2:80")
	thirdServer  = netip.MustParseAddrPort("10.0.0.3:80")
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

func bytesBody(text string) *exchange.Bytes {
	return &exchange.Bytes{
		Content: []byte(text),
	}
}

func TestRequestIsRejectedAfterTwoCrashesAndOthersAreNot(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	detector := &crashdetect.Detector{
		Clock: func() time.Time { return now },
	}
	crashing := newRequest("/orders", bytesBody("a"))
	detector.RecordBrokenConnection(crashing, firstServer)
	detector.RecordBrokenConnection(crashing, firstServer)
	require.False(t, detector.ShouldReject(crashing), "two reports at the same time are one crash")
	detector.RecordBrokenConnection(crashing, secondServer)
	require.True(t, detector.ShouldReject(newRequest("/orders", bytesBody("a"))))
	require.False(t, detector.ShouldReject(newRequest("/orders", bytesBody("b"))))
	require.False(t, detector.ShouldReject(newRequest("/stock", bytesBody("a"))))
	now = now.Add(crashdetect.DefaultRetention + time.Second)
	require.False(t, detector.ShouldReject(crashing))
	require.Empty(t, detector.Reports())
}

func TestSecondCrashOfRestartedServerCounts(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	detector := &crashdetect.Detector{
		Clock: func() time.Time { return now },
	}
	crashing := newRequest("/orders", &exchange.Stream{
		Length: 100_000,
		Prefix: []byte("head"),
	})
	detector.RecordBrokenConnection(crashing, firstServer)
	now = now.Add(5 * time.Second)
	detector.RecordBrokenConnection(crashing, firstServer)
	require.True(t, detector.ShouldReject(crashing))
}

func TestReportsMayArriveInAnyOrderAndRepeatedly(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var broadcast []crashdetect.Report
	clock := func() time.Time { return now }
	origin := &crashdetect.Detector{
		Clock:     clock,
		Broadcast: func(report crashdetect.Report) { broadcast = append(broadcast, report) },
	}
	crashing := newRequest("/orders", nil)
	origin.RecordBrokenConnection(crashing, firstServer)
	origin.RecordBrokenConnection(crashing, secondServer)
	encoded, err := json.Marshal(broadcast)
	require.NoError(t, err)
	var received []crashdetect.Report
	require.NoError(t, json.Unmarshal(encoded, &received))
	other := &crashdetect.Detector{
		Clock: clock,
	}
	for range 3 {
		other.AddReport(received[1])
		other.AddReport(received[0])
	}
	require.Equal(t, 2, other.CrashCount(crashdetect.FingerprintOf(crashing)))
	require.Equal(t, origin.Reports(), received)
	var f crashdetect.Fingerprint
	var invalid *crashdetect.FingerprintError
	require.ErrorAs(t, f.UnmarshalText([]byte("12zz")), &invalid)
}

// TestMaxReportsAndClearancesHoldForReportsInRandomOrder adds crashes and clearances of a
// few requests in random order to a detector with a low limit. The limit must hold, and no
// report that precedes a clearance may remain.
func TestMaxReportsAndClearancesHoldForReportsInRandomOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	detector := &crashdetect.Detector{
		MaxReports: 8,
		Retention:  time.Minute,
		Clock:      func() time.Time { return now },
	}
	for range 20_000 {
		now = now.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
		report := crashdetect.Report{
			Fingerprint: crashdetect.Fingerprint{byte(random.IntN(4))},
			Server:      firstServer,
			ObservedAt:  now.Add(-time.Duration(random.IntN(70)) * time.Second),
			Cleared:     random.IntN(3) == 0,
		}
		detector.AddReport(report)
		require.LessOrEqual(t, len(detector.Reports()), 8)
		for _, known := range detector.Reports() {
			if report.Cleared && known.Fingerprint == report.Fingerprint && now.Sub(report.ObservedAt) <= time.Minute {
				require.False(t, known.ObservedAt.Before(report.ObservedAt))
			}
		}
	}
}

func TestFirstAddedReportsAreRemovedAboveMaxReports(t *testing.T) {
	detector := &crashdetect.Detector{
		MaxReports: 10,
	}
	for n := range 100 {
		detector.RecordBrokenConnection(newRequest(fmt.Sprint("/", n), nil), firstServer)
	}
	require.Len(t, detector.Reports(), 10)
	require.Equal(t, 1, detector.CrashCount(crashdetect.FingerprintOf(newRequest("/99", nil))))
}

// TestBrokenConnectionToReachableServerIsNoCrash breaks connections of equal requests to
// servers that are still running. All equal requests with the same API key share a
// fingerprint, and must not be rejected because of that.
func TestBrokenConnectionToReachableServerIsNoCrash(t *testing.T) {
	detector := &crashdetect.Detector{
		IsReachable: func(netip.AddrPort) bool { return true },
	}
	detector.RecordBrokenConnection(newRequest("/orders", bytesBody("chalk")), firstServer)
	detector.RecordBrokenConnection(newRequest("/orders", bytesBody("chalk")), secondServer)
	require.False(t, detector.ShouldReject(newRequest("/orders", bytesBody("chalk"))))
}

// TestFingerprintIsSameOnEveryEntryHost sends the same request to two entry hosts. A request
// that crashes servers must be recognized on both.
func TestFingerprintIsSameOnEveryEntryHost(t *testing.T) {
	onFirstHost := newRequest("/orders", bytesBody("chalk"))
	onFirstHost.Host = "10.0.0.1:8080"
	onSecondHost := newRequest("/orders", bytesBody("chalk"))
	onSecondHost.Host = "10.0.0.2:8080"
	require.Equal(t, crashdetect.FingerprintOf(onFirstHost), crashdetect.FingerprintOf(onSecondHost))
}

// TestPopularRequestIsNotBlamedForOtherCrashes crashes two backend servers within ten
// minutes for other reasons, while both run the same popular request. The request is
// answered in between, so it must not be rejected before two crashes follow the response.
func TestPopularRequestIsNotBlamedForOtherCrashes(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	detectors := make([]*crashdetect.Detector, 2)
	for i := range detectors {
		detectors[i] = &crashdetect.Detector{
			Clock: func() time.Time { return now },
			Broadcast: func(report crashdetect.Report) {
				encoded, err := json.Marshal(report)
				require.NoError(t, err)
				var received crashdetect.Report
				require.NoError(t, json.Unmarshal(encoded, &received))
				detectors[1-i].AddReport(received)
			},
		}
	}
	popular := newRequest("/stock", nil)
	detectors[0].RecordBrokenConnection(popular, firstServer)
	require.Equal(t, 1, detectors[1].CrashCount(crashdetect.FingerprintOf(popular)))
	lateReport := detectors[0].Reports()[0]
	now = now.Add(time.Minute)
	detectors[0].RecordResponse(popular)
	detectors[1].AddReport(lateReport)
	now = now.Add(time.Minute)
	detectors[1].RecordBrokenConnection(popular, secondServer)
	for _, detector := range detectors {
		require.Equal(t, 1, detector.CrashCount(crashdetect.FingerprintOf(popular)))
		require.False(t, detector.ShouldReject(popular))
	}
	now = now.Add(time.Minute)
	detectors[0].RecordBrokenConnection(popular, firstServer)
	require.True(t, detectors[1].ShouldReject(popular))
}

// TestBrokenLinksAreNoCrashes guards against requests that all hosts reject because one host lost its links to the
// servers, or because a zone failed, while they were running there.
func TestBrokenLinksAreNoCrashes(t *testing.T) {
	hasContact := false
	detector := &crashdetect.Detector{
		IsReachable: func(netip.AddrPort) bool { return false },
		HasContact:  func(netip.AddrPort) bool { return hasContact },
		Broadcast:   func(crashdetect.Report) { require.True(t, hasContact, "other hosts are told") },
	}
	order := newRequest("/orders", bytesBody("chalk"))
	detector.RecordBrokenConnection(order, firstServer)
	detector.RecordBrokenConnection(order, secondServer)
	require.False(t, detector.ShouldReject(order))
	hasContact = true
	detector.RecordBrokenConnection(order, firstServer)
	detector.RecordBrokenConnection(order, secondServer)
	require.True(t, detector.ShouldReject(order))
}

// TestCrashesDoNotCountWhenTheLinksTurnOutToBeBroken guards against the same if a neighbor was still reachable
// when the connection broke. The report of another host, about another server, stays.
func TestCrashesDoNotCountWhenTheLinksTurnOutToBeBroken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hasLost := true
		other := &crashdetect.Detector{}
		detector := &crashdetect.Detector{
			IsReachable:    func(netip.AddrPort) bool { return false },
			HasContact:     func(netip.AddrPort) bool { return true },
			HasLostContact: func(netip.AddrPort) bool { return hasLost },
			Broadcast:      func(report crashdetect.Report) { other.AddReport(report) },
		}
		order := newRequest("/orders", bytesBody("chalk"))
		other.RecordBrokenConnection(order, thirdServer)
		reported := other.Reports()[0]
		detector.AddReport(reported)
		detector.RecordBrokenConnection(order, firstServer)
		detector.RecordBrokenConnection(order, secondServer)
		for _, d := range []*crashdetect.Detector{detector, other} {
			require.Equal(t, 1, d.CrashCount(reported.Fingerprint))
		}
		hasLost = false
		detector.RecordBrokenConnection(order, firstServer)
		require.True(t, other.ShouldReject(order))
	})
}

// TestBodyInPiecesHasTheSameFingerprint guards against requests that are not recognized as those that crashed servers, because their body
// was read in other pieces.
func TestBodyInPiecesHasTheSameFingerprint(t *testing.T) {
	whole := crashdetect.FingerprintOf(newRequest("/orders", bytesBody("a body in pieces")))
	require.Equal(t, whole, crashdetect.FingerprintOf(newRequest("/orders", &exchange.Bytes{
		Content: []byte("a body"),
		More:    [][]byte{[]byte(" in "), []byte("pieces")},
	})))
	require.NotEqual(t, whole, crashdetect.FingerprintOf(newRequest("/orders", bytesBody("a body"))))
}
