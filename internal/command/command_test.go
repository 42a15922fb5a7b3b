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

const sampleTable = `kind,name,path,service,access,repeat,weight-accra,weight-kumasi,rate,burst
region,accra
region,kumasi
route,stock,/stock,storefront,keyed,idempotent,2,1
team,harbour-school,,,,,,,40,80
team,north-chain,,,,,,,400,600
`

// testEnv holds an in-memory store that is served over HTTP, and the addresses that the
// tool gets in its environment.
type testEnv struct {
	memory *store.Memory
	store  string
	hosts  string
}

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	memory := &store.Memory{}
	server := httptest.NewServer(&store.Server{
		Memory: memory,
	})
	t.Cleanup(server.Close)
	return &testEnv{
		memory: memory,
		store:  strings.TrimPrefix(server.URL, "http://"),
	}
}

// run runs the tool and returns its output and exit code.
func (e *testEnv) run(t *testing.T, input string, arguments ...string) (stdout, stderr string, code int) {
	t.Helper()
	t.Setenv("TREFOILLINE_STORE", e.store)
	t.Setenv("TREFOILLINE_HOSTS", e.hosts)
	var outBuffer, errBuffer bytes.Buffer
	code = command.Run(t.Context(), arguments, command.Streams{
		In:  strings.NewReader(input),
		Out: &outBuffer,
		Err: &errBuffer,
	})
	return outBuffer.String(), errBuffer.String(), code
}

// runOK runs the tool, requires that it succeeds and returns its standard output.
func (e *testEnv) runOK(t *testing.T, input string, arguments ...string) string {
	t.Helper()
	stdout, stderr, code := e.run(t, input, arguments...)
	require.Equal(t, command.ExitOK, code, stderr)
	return stdout
}

// runFails runs the tool and requires the exit code, the text in the standard error, and
// an unchanged store.
func (e *testEnv) runFails(t *testing.T, code int, text, input string, arguments ...string) {
	t.Helper()
	before := e.objects(t)
	stdout, stderr, got := e.run(t, input, arguments...)
	require.Equal(t, code, got, stdout+stderr)
	require.Contains(t, stderr, text)
	require.Equal(t, before, e.objects(t))
}

func (e *testEnv) objects(t *testing.T) []objectstore.Object {
	t.Helper()
	faults := e.memory.Faults()
	e.memory.SetFaults(store.Faults{})
	defer e.memory.SetFaults(faults)
	objects, err := e.memory.List(t.Context(), "")
	require.NoError(t, err)
	return objects
}

// fakeHost is an entry host that answers the tool's calls.
type fakeHost struct {
	trefoillinev1connect.UnimplementedLookUpServiceHandler
	status *trefoillinev1.StatusResponse
}

func (h *fakeHost) Status(context.Context, *connect.Request[trefoillinev1.StatusRequest]) (*connect.Response[trefoillinev1.StatusResponse], error) {
	return connect.NewResponse(h.status), nil
}

func (h *fakeHost) LookUp(_ context.Context, r *connect.Request[trefoillinev1.LookUpRequest]) (*connect.Response[trefoillinev1.LookUpResponse], error) {
	return connect.NewResponse(&trefoillinev1.LookUpResponse{
		Hosts:  []*trefoillinev1.EntryHost{h.status.Host},
		Region: "accra for " + r.Msg.ClientAddress,
	}), nil
}

// addFakeHost starts an entry host that reports a version of the table.
func (e *testEnv) addFakeHost(t *testing.T, name string, version uint64) *fakeHost {
	t.Helper()
	h := &fakeHost{
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
	e.hosts += "," + strings.TrimPrefix(server.URL, "http://")
	return h
}

// TestTableApplyMergeRestoreAndPrune checks that two concurrent edits of the same version
// conflict unless merged, that restore publishes a new version, and that prune keeps the
// versions it should.
func TestTableApplyMergeRestoreAndPrune(t *testing.T) {
	e := newTestEnv(t)
	e.runFails(t, command.ExitNotFound, "no table", "", "table", "get")
	require.Contains(t, e.runOK(t, sampleTable, "table", "apply", "-", "--dry-run"), "+ team name=north-chain")
	require.Empty(t, e.objects(t))
	require.Contains(t, e.runOK(t, sampleTable, "table", "apply", "-"), "published as version 1")
	require.Contains(t, e.runOK(t, sampleTable, "table", "apply", "-", "--base", "0"), "already published as version 1")

	file := filepath.Join(t.TempDir(), "table.csv")
	e.runOK(t, "", "table", "get", "--file", file)
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	higherRate := strings.Replace(string(text), ",400,600,", ",500,600,", 1)
	require.Contains(t, e.runOK(t, higherRate, "table", "diff", "-"), "~ team north-chain: rate 400 -> 500")
	e.runOK(t, higherRate, "table", "apply", "-", "--author", "esi")

	// A second operator edits version 1 too.
	other := strings.Replace(string(text), ",40,80,", ",60,80,", 1)
	e.runFails(t, command.ExitConflict, "~ team north-chain: rate 400 -> 500", other, "table", "apply", "-")
	e.runFails(t, command.ExitConflict, "published in the meantime", other, "table", "apply", "-", "--dry-run")
	lowerRate := strings.Replace(string(text), ",400,600,", ",300,600,", 1)
	e.runFails(t, command.ExitConflict, "edited by both", lowerRate, "table", "apply", "-", "--merge")
	require.Contains(t, e.runOK(t, other, "table", "apply", "-", "--merge"), "published as version 3")
	require.Contains(t, e.runOK(t, "", "table", "get"), ",60,80,")
	require.Contains(t, e.runOK(t, "", "table", "get"), ",500,600,")

	require.Contains(t, e.runOK(t, "", "table", "restore", "1"), "published as version 4")
	require.Equal(t, strings.Replace(string(text), "version,1,", "version,4,", 1), e.runOK(t, "", "table", "get"))
	require.Contains(t, e.runOK(t, "", "table", "restore", "1"), "version 4 stays the current version")
	require.Regexp(t, `(?s)4 .*3 .*2 .*esi.*1 `, e.runOK(t, "", "table", "history"))
	require.Contains(t, e.runOK(t, "", "table", "diff", "--from", "2", "--to", "3"), "rate 40 -> 60")

	e.runFails(t, command.ExitUsage, "--keep", "", "table", "prune", "--keep", "0")
	before := e.objects(t)
	require.Contains(t, e.runOK(t, "", "table", "prune", "--keep", "2", "--dry-run"), "would delete: 2 versions and 1 parts")
	require.Equal(t, before, e.objects(t))
	require.Contains(t, e.runOK(t, "", "table", "prune", "--keep", "2"), "the oldest remaining version is 3")
	e.runFails(t, command.ExitNotFound, "accepted: 3 to 4", "", "table", "restore", "1")
	require.Contains(t, e.runOK(t, "", "table", "restore", "3"), "published as version 5")
}

// TestFailedApplyChangesNothing checks the exit codes of invalid tables and flags and of a
// store that is down, and that the store keeps its content.
func TestFailedApplyChangesNothing(t *testing.T) {
	e := newTestEnv(t)
	e.runOK(t, sampleTable, "table", "apply", "-")
	e.runFails(t, command.ExitInvalidTable, `row 5, team harbour-school, column burst: "0"`,
		strings.Replace(sampleTable, "40,80", "40,0", 1), "table", "apply", "-", "--base", "1")
	e.runFails(t, command.ExitInvalidTable, "is not CSV", `"`, "table", "apply", "-")
	e.runFails(t, command.ExitUsage, "--base", sampleTable, "table", "apply", "-")
	e.runFails(t, command.ExitUsage, "--store", sampleTable, "table", "apply", "-", "--store", "accra")
	e.runFails(t, command.ExitUsage, "accepts 1 arg", "", "table", "apply")
	e.runFails(t, command.ExitUsage, "--output", "", "team", "list", "--output", "xml")
	e.memory.SetFaults(store.Faults{
		Down: true,
	})
	e.runFails(t, command.ExitUnreachable, "store", sampleTable, "table", "apply", "-")
}

// TestApplyPublishesOnceWhenStoreRepliesAreLost checks that apply does not publish a
// second version when the store makes a write but its reply is lost.
func TestApplyPublishesOnceWhenStoreRepliesAreLost(t *testing.T) {
	e := newTestEnv(t)
	e.memory.SetFaults(store.Faults{
		DropWriteReplies: 3,
	})
	require.Contains(t, e.runOK(t, sampleTable, "table", "apply", "-"), "version 1")
	require.Equal(t, 1, strings.Count(e.runOK(t, "", "table", "history", "--output", "json"), `"version":`))
	e.memory.SetFaults(store.Faults{
		DropWriteReplies: -1,
	})
	_, stderr, code := e.run(t, strings.Replace(sampleTable, "40,80", "50,80", 1), "table", "apply", "-", "--base", "1")
	require.Equal(t, command.ExitOK, code, stderr)
	require.Equal(t, 2, strings.Count(e.runOK(t, "", "table", "history", "--output", "json"), `"version":`))
}

// TestKeyIssueListAndWithdraw checks issuing, listing and withdrawing keys, and that the key
// itself is neither stored nor shown in an error message.
func TestKeyIssueListAndWithdraw(t *testing.T) {
	e := newTestEnv(t)
	e.runFails(t, command.ExitNotFound, "no table", "", "key", "issue", "north-chain")
	e.runOK(t, sampleTable, "table", "apply", "-")
	e.runFails(t, command.ExitNotFound, "accepted: harbour-school, north-chain", "", "key", "issue", "nobody")
	text := strings.TrimSpace(e.runOK(t, "", "key", "issue", "north-chain", "--note", "till"))
	key, err := team.ParseAPIKey(text)
	require.NoError(t, err)
	hash := key.Hash().String()
	for _, object := range e.objects(t) {
		require.NotContains(t, string(object.Value), text[len(team.APIKeyPrefix):])
	}
	require.Contains(t, e.runOK(t, "", "key", "list"), hash)
	require.Regexp(t, `north-chain +400 +600 +1 +1 +0`, e.runOK(t, "", "team", "list"))

	e.runFails(t, command.ExitUsage, "tf1_hidden", "", "key", "withdraw", text)
	e.runFails(t, command.ExitNotFound, "00000000", "", "key", "withdraw", "00000000")
	require.Contains(t, e.runOK(t, "", "key", "withdraw", hash[:8]), "withdrawn: "+hash)
	e.runOK(t, "", "key", "withdraw", hash)
	require.NotContains(t, e.runOK(t, "", "key", "list"), hash)
	require.Contains(t, e.runOK(t, "", "key", "list", "--withdrawn"), hash)
	e.runOK(t, "", "key", "issue", "north-chain")
	require.Contains(t, e.runOK(t, "", "key", "withdraw", "--team", "north-chain"), "withdrawn: ")
	require.Regexp(t, `north-chain +400 +600 +1 +0 +2`, e.runOK(t, "", "team", "list"))
}

// TestHostsAreListedInStoreWhenNotConfigured checks that the tool calls the entry hosts
// listed in the store if --hosts is empty.
func TestHostsAreListedInStoreWhenNotConfigured(t *testing.T) {
	e := newTestEnv(t)
	e.addFakeHost(t, "accra-1", 1)
	e.memory.RegisterMachine(objectstore.Machine{
		Name:    "accra-1",
		Kind:    objectstore.EntryHost,
		Address: netip.MustParseAddrPort(strings.Trim(e.hosts, ",")),
	})
	e.hosts = ""
	require.Regexp(t, `accra-1 .*live`, e.runOK(t, "", "status"))
}

// TestCommandsThatCallHosts checks the commands that read the state of entry hosts, also
// when one host has not applied the current table or a withdrawal of keys.
func TestCommandsThatCallHosts(t *testing.T) {
	e := newTestEnv(t)
	e.runFails(t, command.ExitUsage, "--hosts", "", "status")
	e.runOK(t, sampleTable, "table", "apply", "-")
	first := e.addFakeHost(t, "accra-1", 1)
	lagging := e.addFakeHost(t, "accra-2", 0)
	require.Contains(t, e.runOK(t, "", "table", "status"), "applied on 1 of 2 hosts\nnot applied on: accra-2")
	e.runFails(t, command.ExitNotApplied, "accra-2", "", "table", "status", "--wait", "--wait-limit", "1ms")
	lagging.status.TableVersion = 1
	require.Contains(t, e.runOK(t, "", "table", "status", "--wait"), "version 1 is applied on 2 of 2 hosts")
	var status struct {
		Hosts []struct {
			Name         string
			TableVersion int `json:"table-version"`
		}
	}
	require.NoError(t, json.Unmarshal([]byte(e.runOK(t, "", "status", "-o", "json")), &status))
	require.Equal(t, "accra-2", status.Hosts[1].Name)
	require.Equal(t, 1, status.Hosts[1].TableVersion)
	require.Contains(t, e.runOK(t, "", "lookup", "203.0.113.7"), "accra for 203.0.113.7")
	page := filepath.Join(t.TempDir(), "run.html")
	measures := e.runOK(t, "", "measures", "--report", page)
	require.Regexp(t, `north-chain +22 +6 +50 +2ms +#{20}\s+75 +2.5ms +#{25}\s`, measures)
	require.Contains(t, measures, "north-chain refused, over-rate: 6")
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Contains(t, string(text), `<rect x="50" y="54" width="480" height="12"/>`)
	lagging.status.KeysVersion = 1 << 40
	key := strings.TrimSpace(e.runOK(t, "", "key", "issue", "north-chain"))
	parsed, err := team.ParseAPIKey(key)
	require.NoError(t, err)
	_, stderr, code := e.run(t, "", "key", "withdraw", parsed.Hash().String(), "--wait", "--wait-limit", "1ms")
	require.Equal(t, command.ExitNotApplied, code)
	require.Contains(t, stderr, "the withdrawal is not applied on 1 hosts: accra-1")
	first.status.KeysVersion = 1 << 40
	require.Contains(t, e.runOK(t, "", "key", "withdraw", parsed.Hash().String(), "--wait"), "applied on 2 of 2 hosts")

	screen := e.runOK(t, "", "watch", "--rounds", "1")
	require.Contains(t, screen, "north-chain")
	require.Regexp(t, `accra +storefront +2 +2 +8 +2 +6`, screen)
	require.Contains(t, e.runOK(t, "", "completion", "bash"), "trefoilline")
}

// TestExitCodeOfWrappedErrors checks the exit codes of errors that wrap errors with
// another exit code.
func TestExitCodeOfWrappedErrors(t *testing.T) {
	unknown := &objectstore.UnknownOutcomeError{}
	require.Equal(t, command.ExitUnreachable, command.ExitCode(&table.NotPublishedError{
		Cause: unknown,
	}))
	require.Equal(t, command.ExitOutcomeUnknown, command.ExitCode(&table.UnknownOutcomeError{
		Cause: &objectstore.UnavailableError{},
	}))
	require.Equal(t, command.ExitStoreRefused, command.ExitCode(&table.NotPublishedError{
		Cause: &objectstore.RefusedError{},
	}))
	require.Equal(t, command.ExitOutcomeUnknown, command.ExitCode(&team.KeyChangeUnknownError{
		Cause: unknown,
	}))
	require.Equal(t, command.ExitOther, command.ExitCode(&command.OutputError{
		Cause: context.Canceled,
	}))
}
