// Package scenario_test runs the real programs as processes on loopback: the
// stand-in store and backend servers, the entry hosts and the operators' tool. Tests
// wait for conditions instead of sleeping, except where a fault has to last for a
// given time and for a short pause between rounds of crashing requests.
package scenario_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	trefoillinev1 "trefoilline.example/trefoilline/api/trefoilline/v1"
	"trefoilline.example/trefoilline/api/trefoilline/v1/trefoillinev1connect"
	"trefoilline.example/trefoilline/header"
	backendstandin "trefoilline.example/trefoilline/internal/standin/backend"
	"trefoilline.example/trefoilline/internal/standin/caller"
	"trefoilline.example/trefoilline/internal/standin/loopback"
	"trefoilline.example/trefoilline/objectstore"
)

const (
	fleetSecret = "scenario-secret-on-loopback"
	// waitTimeout limits requests and waits for a condition; a healthy fleet needs
	// a fraction of it.
	waitTimeout  = time.Minute
	pollInterval = 50 * time.Millisecond
)

// programFolder is the folder that holds the built programs.
var programFolder string

func TestMain(m *testing.M) {
	os.Exit(buildAndRunTests(m))
}

// buildAndRunTests builds all programs into a temporary folder, runs the tests and
// returns the exit code.
func buildAndRunTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "trefoilline-scenario-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	build := exec.Command("go", "build", "-o", folder, "../cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		panic(string(output))
	}
	programFolder = folder
	return m.Run()
}

// testFleet is a fleet of processes: a store, entry hosts and backend servers.
type testFleet struct {
	t       *testing.T
	store   netip.AddrPort
	hosts   []*process
	servers []*process
}

// process is an entry host or a backend server that runs as a process, with its
// entry in the platform's list of machines.
type process struct {
	objectstore.Machine
	command *exec.Cmd
	stderr  *bytes.Buffer
}

var regions = []string{"accra", "kumasi", "tamale"}

// newTestFleet starts a store, two backend servers in each region and the given
// number of entry hosts, publishes table.csv and waits until all hosts use it.
func newTestFleet(t *testing.T, hostCount int) *testFleet {
	f := &testFleet{
		t:     t,
		store: loopback.MustFreeAddress(),
	}
	f.start("trefoilline-standin", "store", "--listen", f.store.String())
	f.waitFor("the store answers", func() bool { return f.tryGet("http://"+f.store.String()+objectstore.MachinesPath) != nil })
	for n := range 2 * len(regions) {
		f.addServer("server-"+strconv.Itoa(n+1), regions[n%len(regions)])
	}
	for n := range hostCount {
		f.addHost("host-"+strconv.Itoa(n+1), regions[n%len(regions)])
	}
	f.runTool("table", "apply", "table.csv", "--wait")
	return f
}

// start starts a program and returns its command and its standard error. The
// program is killed at the end of the test; if the test failed, its standard error is
// logged.
func (f *testFleet) start(program string, arguments ...string) (*exec.Cmd, *bytes.Buffer) {
	command := exec.Command(filepath.Join(programFolder, program), arguments...)
	command.Env = append(os.Environ(), "TREFOILLINED_FLEET_SECRET="+fleetSecret)
	stderr := &bytes.Buffer{}
	command.Stderr = stderr
	require.NoError(f.t, command.Start())
	f.t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		_ = command.Wait()
		if f.t.Failed() {
			f.t.Logf("%s %v:\n%s", program, arguments, stderr)
		}
	})
	return command, stderr
}

// addServer starts a backend server and registers it with the platform.
func (f *testFleet) addServer(name, region string) {
	server := &process{
		Machine: objectstore.Machine{
			Name:    name,
			Kind:    objectstore.BackendServer,
			Region:  region,
			Zone:    region + "-a",
			Address: loopback.MustFreeAddress(),
			State:   objectstore.Live,
			Service: "storefront",
			Slots:   4,
		},
	}
	server.command, server.stderr = f.start("trefoilline-standin", "backend", "--listen", server.Address.String(), "--name", name, "--service-time", "5ms")
	f.registerMachine(server.Machine)
	f.servers = append(f.servers, server)
}

// addHost registers an entry host with the platform and starts it.
func (f *testFleet) addHost(name, region string) *process {
	host := &process{
		Machine: objectstore.Machine{
			Name:    name,
			Kind:    objectstore.EntryHost,
			Region:  region,
			Zone:    region + "-a",
			Address: loopback.MustFreeAddress(),
			State:   objectstore.Live,
		},
	}
	f.registerMachine(host.Machine)
	host.command, host.stderr = f.start("trefoillined", "run", "--host", name, "--region", region, "--zone", host.Zone,
		"--listen", host.Address.String(), "--store", f.store.String(), "--look-up-validity", "1s")
	f.hosts = append(f.hosts, host)
	return host
}

// registerMachine adds a machine to the platform's list.
func (f *testFleet) registerMachine(m objectstore.Machine) {
	body, err := json.Marshal(m)
	require.NoError(f.t, err)
	f.sendControlRequest(http.MethodPut, "http://"+f.store.String()+"/stand-in/machines/"+m.Name, string(body))
}

// unregisterMachine removes a machine from the platform's list.
func (f *testFleet) unregisterMachine(name string) {
	f.sendControlRequest(http.MethodDelete, "http://"+f.store.String()+"/stand-in/machines/"+name, "")
}

// setStoreFaults sets the faults of the stand-in store. The body is the JSON that its
// faults endpoint reads.
func (f *testFleet) setStoreFaults(body string) {
	f.sendControlRequest(http.MethodPost, "http://"+f.store.String()+"/stand-in/faults", body)
}

// setServerFaults sets the faults of a stand-in backend server. The body is the JSON
// that its faults endpoint reads.
func (f *testFleet) setServerFaults(server *process, body string) {
	f.sendControlRequest(http.MethodPost, "http://"+server.Address.String()+"/stand-in/faults", body)
}

// sendControlRequest sends a request to a control endpoint of a stand-in, which must
// accept it.
func (f *testFleet) sendControlRequest(method, target, body string) {
	request, err := http.NewRequest(method, target, strings.NewReader(body))
	require.NoError(f.t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(f.t, err)
	response.Body.Close()
	require.Less(f.t, response.StatusCode, http.StatusBadRequest, target)
}

// tryGet sends a GET request and returns the response with its body closed, or nil
// if there was none.
func (f *testFleet) tryGet(target string) *http.Response {
	response, err := http.Get(target)
	if err != nil {
		return nil
	}
	response.Body.Close()
	return response
}

// runTool runs the operators' tool, which must succeed, and returns its output.
func (f *testFleet) runTool(arguments ...string) string {
	output, err := f.tryTool(arguments...)
	require.NoError(f.t, err, "%v: %s", arguments, output)
	return output
}

// tryTool runs the operators' tool. It returns the standard output followed by the
// standard error, and the error of the run.
func (f *testFleet) tryTool(arguments ...string) (string, error) {
	command := exec.Command(filepath.Join(programFolder, "trefoilline"), arguments...)
	command.Env = append(os.Environ(), "TREFOILLINE_STORE="+f.store.String(), "TREFOILLINE_FLEET_SECRET="+fleetSecret)
	var stderr bytes.Buffer
	command.Stderr = &stderr
	output, err := command.Output()
	return string(output) + stderr.String(), err
}

// issueKey issues a key for a team and waits until every host accepts it.
func (f *testFleet) issueKey(team string) (key, hash string) {
	var issued struct {
		Key  string `json:"key"`
		Hash string `json:"hash"`
	}
	require.NoError(f.t, json.Unmarshal([]byte(f.runTool("key", "issue", team, "--output", "json")), &issued))
	for _, h := range f.hosts {
		f.waitFor("the host accepts the key", func() bool {
			return f.sendDirect(h, issued.Key, http.MethodGet, "/stock").Status == http.StatusOK
		})
	}
	return issued.Key, issued.Hash
}

// sendDirect sends one request to the given host, without a look-up.
func (f *testFleet) sendDirect(h *process, key, method, path string) caller.Result {
	ctx, cancel := context.WithTimeout(f.t.Context(), waitTimeout)
	defer cancel()
	return caller.SendDirect(ctx, h.Address, key, caller.Request{
		Method: method,
		Path:   path,
	})
}

// newCaller returns a caller that knows the addresses of all hosts.
func (f *testFleet) newCaller(key string) *caller.Caller {
	c := &caller.Caller{
		Key: key,
	}
	for _, h := range f.hosts {
		c.EntryHosts = append(c.EntryHosts, h.Address)
	}
	return c
}

// requestLog returns the log of the requests that a backend server received.
func (f *testFleet) requestLog(server *process) backendstandin.RequestLog {
	response, err := http.Get("http://" + server.Address.String() + "/stand-in/record")
	require.NoError(f.t, err)
	defer response.Body.Close()
	var requests backendstandin.RequestLog
	require.NoError(f.t, json.NewDecoder(response.Body).Decode(&requests))
	return requests
}

// status returns the status that a host reports.
func (f *testFleet) status(h *process) *trefoillinev1.StatusResponse {
	client := trefoillinev1connect.NewFleetServiceClient(http.DefaultClient, "http://"+h.Address.String(), connect.WithProtoJSON())
	request := connect.NewRequest(&trefoillinev1.StatusRequest{})
	request.Header().Set(header.FleetSecret, fleetSecret)
	response, err := client.Status(f.t.Context(), request)
	require.NoError(f.t, err)
	return response.Msg
}

// requireNoViolations checks that no host has counted a violated invariant.
func (f *testFleet) requireNoViolations(hosts ...*process) {
	for _, h := range hosts {
		require.Zero(f.t, f.status(h).GetViolations(), h.Name)
	}
}

// waitFor fails the test if the condition does not hold within waitTimeout.
func (f *testFleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	require.Eventually(f.t, condition, waitTimeout, pollInterval, what)
}

// signal sends a signal to the process.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	require.NoError(t, p.command.Process.Signal(s))
}

// suspend stops a process with SIGSTOP and waits until all its threads have stopped.
// The kernel reports the stop to the parent only then; before that, a thread may
// still answer a request.
func (p *process) suspend(t *testing.T) {
	p.signal(t, syscall.SIGSTOP)
	var info unix.Siginfo
	require.NoError(t, unix.Waitid(unix.P_PID, p.command.Process.Pid, &info, unix.WSTOPPED, nil))
}

// kill kills a process without a graceful stop, to simulate a failed host, and waits
// until it has ended.
func (p *process) kill(t *testing.T) {
	require.NoError(t, p.command.Process.Kill())
	_ = p.command.Wait()
}
