package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	trefoillinev1 "trefoilline.example/trefoilline/api/trefoilline/v1"
	"trefoilline.example/trefoilline/api/trefoilline/v1/trefoillinev1connect"
	"trefoilline.example/trefoilline/internal/command"
	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/table"
	"trefoilline.example/trefoilline/team"
)

const small = `kind,name,path,service,access,repeat,weight-accra,weight-kumasi,rate,burst
region,accra
region,kumasi
route,stock,/stock,storefront,keyed,idempotent,2,1
team,harbour-school,,,,,,,40,80
team,north-chain,,,,,,,400,600
`

// bench is a store over HTTP and the tool set to it.
type bench struct {
	memory *store.Memory
	store  string
	hosts  string
}

func newBench(t *testing.T) *bench {
	t.Helper()
	memory := &store.Memory{}
	server := httptest.NewServer(&store.Server{
		Memory: memory,
	})
	t.Cleanup(server.Close)
	return &bench{
		memory: memory,
		store:  strings.TrimPrefix(server.URL, "http://"),
	}
}

// run runs the tool and returns what it wrote and its exit code.
func (b *bench) run(t *testing.T, input string, arguments ...string) (out, errors string, code int) {
	t.Helper()
	t.Setenv("TREFOILLINE_STORE", b.store)
	t.Setenv("TREFOILLINE_HOSTS", b.hosts)
	var stdout, stderr bytes.Buffer
	code = command.Run(t.Context(), arguments, command.Streams{
		In:  strings.NewReader(input),
		Out: &stdout,
		Err: &stderr,
	})
	return stdout.String(), stderr.String(), code
}

// ok runs the tool and wants it to succeed.
func (b *bench) ok(t *testing.T, input string, arguments ...string) string {
	t.Helper()
	out, errors, code := b.run(t, input, arguments...)
	require.Equal(t, command.ExitOK, code, errors)
	return out
}

// fails runs the tool, wants the exit code and the words, and nothing written
// to the store.
func (b *bench) fails(t *testing.T, code int, words, input string, arguments ...string) {
	t.Helper()
	before := b.objects(t)
	out, errors, got := b.run(t, input, arguments...)
	require.Equal(t, code, got, out+errors)
	require.Contains(t, errors, words)
	require.Equal(t, before, b.objects(t))
}

func (b *bench) objects(t *testing.T) []objectstore.Object {
	t.Helper()
	faults := b.memory.Faults()
	b.memory.SetFaults(store.Faults{})
	defer b.memory.SetFaults(faults)
	objects, err := b.memory.List(t.Context(), "")
	require.NoError(t, err)
	return objects
}

// host is an entry host that answers operators.
type host struct {
	trefoillinev1connect.UnimplementedLookUpServiceHandler
	status *trefoillinev1.StatusResponse
}

func (h *host) Status(context.Context, *connect.Request[trefoillinev1.StatusRequest]) (*connect.Response[trefoillinev1.StatusResponse], error) {
	return connect.NewResponse(h.status), nil
}

func (h *host) LookUp(_ context.Context, r *connect.Request[trefoillinev1.LookUpRequest]) (*connect.Response[trefoillinev1.LookUpResponse], error) {
	return connect.NewResponse(&trefoillinev1.LookUpResponse{
		Hosts:  []*trefoillinev1.EntryHost{h.status.Host},
		Region: "accra for " + r.Msg.ClientAddress,
	}), nil
}

// addHost starts an entry host with a version of the table in force.
func (b *bench) addHost(t *testing.T, name string, version uint64) *host {
	t.Helper()
	h := &host{
		status: &trefoillinev1.StatusResponse{
			Host: &trefoillinev1.EntryHost{
				Name: name,
			},
			State:        trefoillinev1.HostState_HOST_STATE_LIVE,
			TableVersion: version,
			Regions: []*trefoillinev1.RegionStatus{
				{
					Region:  "accra",
					Service: "storefront",
					Servers: 2,
					Usable:  2,
					Slots:   8,
					Running: 1,
				},
			},
			Teams: []*trefoillinev1.TeamStatus{
				{
					Team:     "north-chain",
					Answered: 11,
					OverRate: 3,
				},
			},
		},
	}
	mux := http.NewServeMux()
	mux.Handle(trefoillinev1connect.NewFleetServiceHandler(h))
	mux.Handle(trefoillinev1connect.NewLookUpServiceHandler(h))
	mux.HandleFunc("GET /trefoilline/measures", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"latency/north-chain": {"count": 11, "median": 2000, "75%": 2500, "95%": 3000, "99%": 4000},
			"refused/north-chain/over-rate": {"count": 3}, "limits/epoch": {"value": 7}}`))
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	b.hosts += "," + strings.TrimPrefix(server.URL, "http://")
	return h
}

func TestTableFromFirstToRestored(t *testing.T) {
	b := newBench(t)
	b.fails(t, command.ExitNotFound, "no table", "", "table", "get")
	require.Contains(t, b.ok(t, small, "table", "apply", "-", "--dry-run"), "+ team name=north-chain")
	require.Empty(t, b.objects(t))
	require.Contains(t, b.ok(t, small, "table", "apply", "-"), "accepted as version 1")
	require.Contains(t, b.ok(t, small, "table", "apply", "-", "--base", "0"), "already made version 1")

	file := filepath.Join(t.TempDir(), "table.csv")
	b.ok(t, "", "table", "get", "--file", file)
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	faster := strings.Replace(string(text), ",400,600,", ",500,600,", 1)
	require.Contains(t, b.ok(t, faster, "table", "diff", "-"), "~ team north-chain: rate 400 -> 500")
	b.ok(t, faster, "table", "apply", "-", "--author", "esi")

	// A second operator edited version 1 too.
	other := strings.Replace(string(text), ",40,80,", ",60,80,", 1)
	b.fails(t, command.ExitConflict, "~ team north-chain: rate 400 -> 500", other, "table", "apply", "-")
	b.fails(t, command.ExitConflict, "published meanwhile", other, "table", "apply", "-", "--dry-run")
	slower := strings.Replace(string(text), ",400,600,", ",300,600,", 1)
	b.fails(t, command.ExitConflict, "edited by both", slower, "table", "apply", "-", "--merge")
	require.Contains(t, b.ok(t, other, "table", "apply", "-", "--merge"), "accepted as version 3")
	require.Contains(t, b.ok(t, "", "table", "get"), ",60,80,")
	require.Contains(t, b.ok(t, "", "table", "get"), ",500,600,")

	require.Contains(t, b.ok(t, "", "table", "restore", "1"), "accepted as version 4")
	require.Equal(t, strings.Replace(string(text), "version,1,", "version,4,", 1), b.ok(t, "", "table", "get"))
	require.Contains(t, b.ok(t, "", "table", "restore", "1"), "version 4 stays in force")
	require.Regexp(t, `(?s)4 .*3 .*2 .*esi.*1 `, b.ok(t, "", "table", "history"))
	require.Contains(t, b.ok(t, "", "table", "diff", "--from", "2", "--to", "3"), "rate 40 -> 60")

	b.fails(t, command.ExitUsage, "--keep", "", "table", "prune", "--keep", "0")
	before := b.objects(t)
	require.Contains(t, b.ok(t, "", "table", "prune", "--keep", "2", "--dry-run"), "would delete: 2 versions and 1 parts")
	require.Equal(t, before, b.objects(t))
	require.Contains(t, b.ok(t, "", "table", "prune", "--keep", "2"), "the oldest version that stays is 3")
	b.fails(t, command.ExitNotFound, "accepted: 3 to 4", "", "table", "restore", "1")
	require.Contains(t, b.ok(t, "", "table", "restore", "3"), "accepted as version 5")
}

func TestBadTableChangesNothing(t *testing.T) {
	b := newBench(t)
	b.ok(t, small, "table", "apply", "-")
	b.fails(t, command.ExitInvalid, `row 5, team harbour-school, column burst: "0"`,
		strings.Replace(small, "40,80", "40,0", 1), "table", "apply", "-", "--base", "1")
	b.fails(t, command.ExitInvalid, "is not CSV", `"`, "table", "apply", "-")
	b.fails(t, command.ExitUsage, "--base", small, "table", "apply", "-")
	b.fails(t, command.ExitUsage, "--store", small, "table", "apply", "-", "--store", "accra")
	b.fails(t, command.ExitUsage, "accepts 1 arg", "", "table", "apply")
	b.fails(t, command.ExitUsage, "--output", "", "team", "list", "--output", "xml")
	b.memory.SetFaults(store.Faults{
		Down: true,
	})
	b.fails(t, command.ExitUnreached, "store", small, "table", "apply", "-")
}

func TestLostAnswers(t *testing.T) {
	b := newBench(t)
	b.memory.SetFaults(store.Faults{
		LoseReplies: 3,
	})
	require.Contains(t, b.ok(t, small, "table", "apply", "-"), "version 1")
	require.Equal(t, 1, strings.Count(b.ok(t, "", "table", "history", "--output", "json"), `"version":`))
	b.memory.SetFaults(store.Faults{
		LoseReplies: -1,
	})
	_, errors, code := b.run(t, strings.Replace(small, "40,80", "50,80", 1), "table", "apply", "-", "--base", "1")
	require.Equal(t, command.ExitOK, code, errors)
	require.Equal(t, 2, strings.Count(b.ok(t, "", "table", "history", "--output", "json"), `"version":`))
}

func TestKeysFromIssuedToWithdrawn(t *testing.T) {
	b := newBench(t)
	b.fails(t, command.ExitNotFound, "no table", "", "key", "issue", "north-chain")
	b.ok(t, small, "table", "apply", "-")
	b.fails(t, command.ExitNotFound, "accepted: harbour-school, north-chain", "", "key", "issue", "nobody")
	text := strings.TrimSpace(b.ok(t, "", "key", "issue", "north-chain", "--note", "till"))
	key, err := team.ParseKey(text)
	require.NoError(t, err)
	hash := key.Hash().String()
	for _, object := range b.objects(t) {
		require.NotContains(t, string(object.Value), text[len(team.KeyPrefix):])
	}
	require.Contains(t, b.ok(t, "", "key", "list"), hash)
	require.Regexp(t, `north-chain +400 +600 +1 +1 +0`, b.ok(t, "", "team", "list"))

	b.fails(t, command.ExitUsage, "tf1_hidden", "", "key", "withdraw", text)
	b.fails(t, command.ExitNotFound, "00000000", "", "key", "withdraw", "00000000")
	require.Contains(t, b.ok(t, "", "key", "withdraw", hash[:8]), "withdrawn: "+hash)
	b.ok(t, "", "key", "withdraw", hash)
	require.NotContains(t, b.ok(t, "", "key", "list"), hash)
	require.Contains(t, b.ok(t, "", "key", "list", "--withdrawn"), hash)
	b.ok(t, "", "key", "issue", "north-chain")
	require.Contains(t, b.ok(t, "", "key", "withdraw", "--team", "north-chain"), "withdrawn: ")
	require.Regexp(t, `north-chain +400 +600 +1 +0 +2`, b.ok(t, "", "team", "list"))
}

// TestHostsThatThePlatformLists asks those if no host is named.
func TestHostsThatThePlatformLists(t *testing.T) {
	b := newBench(t)
	b.addHost(t, "accra-1", 1)
	b.memory.Register(objectstore.Machine{
		Name:    "accra-1",
		Kind:    objectstore.EntryHost,
		Address: netip.MustParseAddrPort(strings.Trim(b.hosts, ",")),
	})
	b.hosts = ""
	require.Regexp(t, `accra-1 .*live`, b.ok(t, "", "status"))
}

func TestHosts(t *testing.T) {
	b := newBench(t)
	b.fails(t, command.ExitUsage, "--hosts", "", "status")
	b.ok(t, small, "table", "apply", "-")
	first := b.addHost(t, "accra-1", 1)
	late := b.addHost(t, "accra-2", 0)
	require.Contains(t, b.ok(t, "", "table", "status"), "in force on 1 of 2 hosts\nnot on: accra-2")
	b.fails(t, command.ExitNotInForce, "accra-2", "", "table", "status", "--wait", "--wait-limit", "1ms")
	late.status.TableVersion = 1
	require.Contains(t, b.ok(t, "", "table", "status", "--wait"), "version 1 is in force on 2 of 2 hosts")
	var status struct {
		Hosts []struct {
			Name         string
			TableVersion int `json:"table-version"`
		}
	}
	require.NoError(t, json.Unmarshal([]byte(b.ok(t, "", "status", "-o", "json")), &status))
	require.Equal(t, "accra-2", status.Hosts[1].Name)
	require.Equal(t, 1, status.Hosts[1].TableVersion)
	require.Contains(t, b.ok(t, "", "lookup", "203.0.113.7"), "accra for 203.0.113.7")
	page := filepath.Join(t.TempDir(), "run.html")
	measures := b.ok(t, "", "measures", "--report", page)
	require.Regexp(t, `north-chain +22 +6 +50 +2ms +#{20}\s+75 +2.5ms +#{25}\s`, measures)
	require.Contains(t, measures, "north-chain refused, over-rate: 6")
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Contains(t, string(text), `<rect x="50" y="54" width="480" height="12"/>`)
	late.status.KeysVersion = 1 << 40
	key := strings.TrimSpace(b.ok(t, "", "key", "issue", "north-chain"))
	parsed, err := team.ParseKey(key)
	require.NoError(t, err)
	_, errors, code := b.run(t, "", "key", "withdraw", parsed.Hash().String(), "--wait", "--wait-limit", "1ms")
	require.Equal(t, command.ExitNotInForce, code)
	require.Contains(t, errors, "the withdrawal is not in force on 1 hosts: accra-1")
	first.status.KeysVersion = 1 << 40
	require.Contains(t, b.ok(t, "", "key", "withdraw", parsed.Hash().String(), "--wait"), "in force on 2 of 2 hosts")

	drawn := b.ok(t, "", "watch", "--rounds", "1")
	require.Contains(t, drawn, "north-chain")
	require.Regexp(t, `accra +storefront +2 +2 +8 +2 +6`, drawn)
	require.Contains(t, b.ok(t, "", "completion", "bash"), "trefoilline")
}

// TestExitCodes holds the codes of errors that carry others.
func TestExitCodes(t *testing.T) {
	unknown := &objectstore.UnknownOutcomeError{}
	require.Equal(t, command.ExitUnreached, command.ExitCode(&table.NotPublishedError{
		Cause: unknown,
	}))
	require.Equal(t, command.ExitUnknown, command.ExitCode(&table.UnknownOutcomeError{
		Cause: &objectstore.UnavailableError{},
	}))
	require.Equal(t, command.ExitRefused, command.ExitCode(&table.NotPublishedError{
		Cause: &objectstore.RefusedError{},
	}))
	require.Equal(t, command.ExitUnknown, command.ExitCode(&team.UnknownOutcomeError{
		Cause: unknown,
	}))
	require.Equal(t, command.ExitOther, command.ExitCode(&command.OutputError{
		Cause: context.Canceled,
	}))
}
