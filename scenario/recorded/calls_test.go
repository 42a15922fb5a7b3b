package recorded_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/platform"
	"trefoilline.example/trefoilline/platform/standin"
)

// conversation carries calls one after the other and writes down what is said:
// the call, its headers that matter and its body, then the answer.
type conversation struct {
	text bytes.Buffer
}

// RoundTrip implements [http.RoundTripper].
func (c *conversation) RoundTrip(request *http.Request) (*http.Response, error) {
	fmt.Fprintf(&c.text, "%s %s\n", request.Method, request.URL.RequestURI())
	for _, name := range []string{"Content-Type", "If-Match", "If-None-Match"} {
		if value := request.Header.Get(name); value != "" {
			fmt.Fprintf(&c.text, "%s: %s\n", name, value)
		}
	}
	if request.Body != nil {
		sent, err := io.ReadAll(request.Body)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(&c.text, "%s\n", sent)
		request.Body = io.NopCloser(bytes.NewReader(sent))
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(&c.text, "%d %s\n\n", response.StatusCode, bytes.TrimSpace(answer))
	response.Body = io.NopCloser(bytes.NewReader(answer))
	return response, nil
}

// listen serves a handler on loopback until the test ends.
func listen(t *testing.T, handler http.Handler) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// useStore makes every kind of call, with each condition and each refusal.
func useStore(ctx context.Context, t *testing.T, called objectstore.Store) {
	t.Helper()
	first, err := called.Put(ctx, "things/one", []byte(`{"a":1}`), objectstore.IfAbsent{})
	require.NoError(t, err)
	_, err = called.Put(ctx, "things/one", []byte(`{"a":2}`), objectstore.IfAbsent{})
	var conflict *objectstore.ConflictError
	require.ErrorAs(t, err, &conflict)
	second, err := called.Put(ctx, "things/one", []byte(`{"a":3}`), objectstore.IfVersion{
		Version: first,
	})
	require.NoError(t, err)
	require.Greater(t, second, first)
	_, err = called.Put(ctx, "things/two", []byte(`{"b":"<&>"}`), objectstore.Always{})
	require.NoError(t, err)
	object, err := called.Get(ctx, "things/one")
	require.NoError(t, err)
	require.Equal(t, objectstore.Object{
		Key:     "things/one",
		Value:   []byte(`{"a":3}`),
		Version: second,
	}, withoutStatus(object))
	_, err = called.Get(ctx, "things/none")
	var missing *objectstore.NotFoundError
	require.ErrorAs(t, err, &missing)
	objects, err := called.List(ctx, "things/")
	require.NoError(t, err)
	require.Len(t, objects, 2)
	require.NoError(t, called.Delete(ctx, "things/one", objectstore.IfVersion{
		Version: second,
	}))
	changes, err := called.Watch(ctx, "things/", first, 1500*time.Millisecond)
	require.NoError(t, err)
	require.NotEmpty(t, changes.Objects)
	require.True(t, changes.Objects[len(changes.Objects)-1].Deleted)
	require.Greater(t, changes.Next, second)
}

// withoutStatus leaves out an empty status, which some stores send as null.
func withoutStatus(o objectstore.Object) objectstore.Object {
	if string(o.Status) == "null" {
		o.Status = nil
	}
	return o
}

// TestCallsOfTheStoreAreAsRecorded calls the store of the product's own fleet,
// and the list of machines.
func TestCallsOfTheStoreAreAsRecorded(t *testing.T) {
	at := newClock()
	memory := &store.Memory{
		Clock: at.now,
	}
	said := &conversation{}
	client := &objectstore.Client{
		Address: listen(t, &store.Server{
			Memory: memory,
		}),
		HTTP: &http.Client{
			Transport: said,
		},
	}
	useStore(t.Context(), t, client)
	for _, m := range machines() {
		memory.Register(m)
	}
	listed, err := client.Machines(t.Context())
	require.NoError(t, err)
	require.Equal(t, machines(), listed)
	requireRecorded(t, "calls/objectstore", said.text.Bytes())
}

// machines returns one machine of each kind and state.
func machines() []objectstore.Machine {
	return []objectstore.Machine{
		{
			Name:    "entry-1",
			Kind:    objectstore.EntryHost,
			Region:  "accra",
			Zone:    "accra-a",
			Address: netip.MustParseAddrPort("10.0.0.1:8000"),
			State:   objectstore.Live,
		},
		{
			Name:    "storefront-1",
			Kind:    objectstore.BackendServer,
			Region:  "kumasi",
			Zone:    "kumasi-b",
			Address: netip.MustParseAddrPort("10.0.1.1:8080"),
			State:   objectstore.Draining,
			Service: "storefront",
			Slots:   4,
			WarmUp:  90 * time.Second,
			Started: newClock().now(),
		},
	}
}

// TestCallsOfThePlatformAreAsRecorded calls the store of the platform.
func TestCallsOfThePlatformAreAsRecorded(t *testing.T) {
	address := listen(t, &standin.Store{})
	said := &conversation{}
	objects := &platform.StoreClient{
		Address:   func() netip.AddrPort { return address },
		Transport: said,
	}
	useStore(t.Context(), t, objects)
	snapshot, err := objects.Snapshot(t.Context(), "things/")
	require.NoError(t, err)
	require.Len(t, snapshot.Objects, 1)
	requireRecorded(t, "calls/platform", said.text.Bytes())
}
