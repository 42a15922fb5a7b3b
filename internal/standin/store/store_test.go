package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/objectstore"
)

// startServer serves the memory over HTTP and returns a client of it.
func startServer(t *testing.T, m *store.Memory) (*objectstore.Client, *httptest.Server) {
	server := httptest.NewServer(&store.Server{
		Memory: m,
	})
	t.Cleanup(server.Close)
	return &objectstore.Client{
		Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
	}, server
}

func TestConditionalWritesInMemoryAndOverHTTP(t *testing.T) {
	memory := &store.Memory{}
	client, _ := startServer(t, &store.Memory{})
	// The outcomes matter here, not how long a busy machine takes for them.
	client.Timeout = time.Minute
	stores := []objectstore.Store{
		memory,
		client,
	}
	for _, s := range stores {
		ctx := t.Context()
		_, err := s.Get(ctx, "table/head")
		require.ErrorAs(t, err, new(*objectstore.NotFoundError))
		first, err := s.Put(ctx, "table/head", []byte("one"), objectstore.IfAbsent{})
		require.NoError(t, err)
		_, err = s.Put(ctx, "table/head", []byte("two"), objectstore.IfAbsent{})
		require.Equal(t, &objectstore.ConflictError{
			Key:            "table/head",
			CurrentVersion: first,
		}, err)
		second, err := s.Put(ctx, "table/head", []byte("two"), objectstore.IfVersion{
			Version: first,
		})
		require.NoError(t, err)
		require.Greater(t, second, first)
		err = s.Delete(ctx, "table/head", objectstore.IfVersion{
			Version: first,
		})
		require.ErrorAs(t, err, new(*objectstore.ConflictError))
		object, err := s.Get(ctx, "table/head")
		require.NoError(t, err)
		require.Equal(t, "two", string(object.Value))
		_, err = s.Put(ctx, "big", make([]byte, objectstore.MaxValueSize+1), objectstore.Always{})
		require.ErrorAs(t, err, new(*objectstore.RefusedError))
		require.NoError(t, s.Delete(ctx, "table/head", nil))
		list, err := s.List(ctx, "table/")
		require.NoError(t, err)
		require.Empty(t, list)
		changes, err := s.Watch(ctx, "table/", second, time.Second)
		require.NoError(t, err)
		require.Len(t, changes.Objects, 1)
		require.True(t, changes.Objects[0].Deleted)
	}
}

func TestClientDistinguishesUnknownOutcomeFromUnavailable(t *testing.T) {
	m := &store.Memory{}
	client, server := startServer(t, m)
	ctx := t.Context()

	m.SetFaults(store.Faults{
		DropWriteReplies: 1,
	})
	_, err := client.Put(ctx, "a", []byte("x"), objectstore.IfAbsent{})
	require.ErrorAs(t, err, new(*objectstore.UnknownOutcomeError))
	object, err := client.Get(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, "x", string(object.Value))
	require.Equal(t, uint64(1), m.CallCounts().Put, "the client must not send a write twice")

	m.SetFaults(store.Faults{
		Down: true,
	})
	_, err = client.Put(ctx, "a", []byte("y"), objectstore.Always{})
	require.ErrorAs(t, err, new(*objectstore.UnavailableError))
	_, err = client.Get(ctx, "a")
	require.ErrorAs(t, err, new(*objectstore.UnavailableError))

	// On a connection that was open when the server closed, the client cannot
	// tell whether the write was sent. A client without open connections knows
	// that it was not.
	server.Close()
	newClient := &objectstore.Client{
		Address: client.Address,
		HTTP: &http.Client{
			Transport: &http.Transport{},
		},
	}
	_, err = newClient.Put(ctx, "a", []byte("y"), objectstore.Always{})
	require.ErrorAs(t, err, new(*objectstore.UnavailableError))
}

func TestWatchWaitsInSimulatedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &store.Memory{}
		start := time.Now()
		go func() {
			time.Sleep(3 * time.Second)
			_, _ = m.Put(t.Context(), "keys/a", nil, nil)
		}()
		changes, err := m.Watch(t.Context(), "keys/", 0, time.Minute)
		require.NoError(t, err)
		require.Len(t, changes.Objects, 1)
		require.Equal(t, 3*time.Second, time.Since(start))
		changes, err = m.Watch(t.Context(), "keys/", changes.Next, time.Minute)
		require.NoError(t, err)
		require.Empty(t, changes.Objects)
		require.Equal(t, 63*time.Second, time.Since(start))
	})
}

func TestStaleCallsReturnObjectsFromBeforeTheFault(t *testing.T) {
	m := &store.Memory{}
	ctx := t.Context()
	old, err := m.Put(ctx, "head", []byte("old"), nil)
	require.NoError(t, err)
	m.SetFaults(store.Faults{
		StaleWatch: true,
		StaleReads: true,
	})
	_, err = m.Put(ctx, "head", []byte("new"), objectstore.IfVersion{
		Version: old,
	})
	require.NoError(t, err)
	changes, err := m.Watch(ctx, "head", 0, 0)
	require.NoError(t, err)
	require.Equal(t, "old", string(changes.Objects[0].Value))
	require.Equal(t, old, changes.Next)
	object, err := m.Get(ctx, "head")
	require.NoError(t, err)
	require.Equal(t, "old", string(object.Value))
}

func TestMachineListChangesBecomeVisibleAfterLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &store.Memory{
			MachineLag: 4 * time.Second,
		}
		m.RegisterMachine(objectstore.Machine{
			Name: "host-1",
			Kind: objectstore.EntryHost,
		})
		list, err := m.Machines(t.Context())
		require.NoError(t, err)
		require.Empty(t, list)
		time.Sleep(4 * time.Second)
		m.UnregisterMachine("host-1")
		list, err = m.Machines(t.Context())
		require.NoError(t, err)
		require.Len(t, list, 1)
		time.Sleep(4 * time.Second)
		list, err = m.Machines(t.Context())
		require.NoError(t, err)
		require.Empty(t, list)
	})
}

func TestLinkGoingDownEndsPendingWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := &store.Link{
			Memory: &store.Memory{},
		}
		go func() {
			time.Sleep(time.Second)
			link.SetDown(true)
		}()
		_, err := link.Watch(t.Context(), "", 0, time.Minute)
		require.ErrorAs(t, err, new(*objectstore.UnavailableError))
		link.SetDown(false)
		_, err = link.Get(t.Context(), "a")
		require.ErrorAs(t, err, new(*objectstore.NotFoundError))
	})
}

func TestFaultsAndMachinesAreSetOverHTTP(t *testing.T) {
	m := &store.Memory{}
	client, server := startServer(t, m)
	sendRequest := func(method, path, body string) int {
		request, err := http.NewRequestWithContext(t.Context(), method, server.URL+path, strings.NewReader(body))
		require.NoError(t, err)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response.StatusCode
	}
	require.Equal(t, http.StatusOK, sendRequest("PUT", store.MachinesControlPath+"host-1",
		`{"kind":"entry-host","zone":"accra-a","region":"accra","address":"127.0.0.1:9000","state":"leaving"}`))
	list, err := client.Machines(t.Context())
	require.NoError(t, err)
	require.Equal(t, objectstore.Draining, list[0].State)
	require.Equal(t, http.StatusOK, sendRequest("DELETE", store.MachinesControlPath+"host-1", ""))
	require.Equal(t, http.StatusOK, sendRequest("POST", store.FaultsPath, `{"delay":"1ms","lose-replies":2}`))
	require.Equal(t, store.Faults{
		Delay:            time.Millisecond,
		DropWriteReplies: 2,
	}, m.Faults())
	require.Equal(t, http.StatusBadRequest, sendRequest("POST", store.FaultsPath, `{"delay":"soon"}`))
	require.Equal(t, http.StatusBadRequest, sendRequest("POST", store.FaultsPath, `{"dwon":true}`))
	require.Equal(t, http.StatusOK, sendRequest("GET", store.CallsPath, ""))
	require.Equal(t, http.StatusBadRequest, sendRequest("GET", objectstore.WatchPath+"?after=x&wait=1s", ""))
}

func TestCommandServesUntilContextIsCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	output, ended := make(lineChannel, 1), make(chan error, 1)
	command := store.NewCommand()
	command.SetArgs([]string{
		"--listen",
		"127.0.0.1:0",
	})
	command.SetOut(output)
	go func() { ended <- command.ExecuteContext(ctx) }()
	address := strings.TrimSpace(strings.TrimPrefix(<-output, "listening on "))
	client := &objectstore.Client{
		Address: netip.MustParseAddrPort(address),
	}
	_, err := client.Put(t.Context(), "a", nil, nil)
	require.NoError(t, err)
	cancel()
	require.NoError(t, <-ended)
}

// lineChannel is an [io.Writer] that sends each write as a string.
type lineChannel chan string

func (l lineChannel) Write(text []byte) (int, error) {
	l <- string(text)
	return len(text), nil
}
