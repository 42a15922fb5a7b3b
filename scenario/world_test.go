// Package scenario_test runs the real programs on loopback: the store, backend
// servers, entry hosts and the operators' tool. Tests wait on conditions; the
// length of a fault is the only time that they state.
package scenario_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
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
	"trefoilline.example/trefoilline/objectstore"
)

const (
	secret = "scenario-secret-on-loopback"
	// patience bounds a wait for a condition; a sound fleet needs a fraction.
	patience = time.Minute
	poll     = 50 * time.Millisecond
)

// programs is the folder of the built programs.
var programs string

func TestMain(m *testing.M) {
	os.Exit(runWithPrograms(m))
}

func runWithPrograms(m *testing.M) int {
	folder, err := os.MkdirTemp("", "trefoilline-scenario-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	build := exec.Command("go", "build", "-o", folder, "../cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		panic(string(output))
	}
	programs = folder
	return m.Run()
}

// world is a fleet of processes.
type world struct {
	t       *testing.T
	store   netip.AddrPort
	hosts   []*machine
	servers []*machine
}

// machine is one process that the platform lists.
type machine struct {
	objectstore.Machine
	command *exec.Cmd
	log     *bytes.Buffer
}

var regions = []string{"accra", "kumasi", "tamale"}

// newWorld starts a store, two backend servers in each region and the entry
// hosts, publishes the table and waits until it is in force.
func newWorld(t *testing.T, hosts int) *world {
	w := &world{
		t:     t,
		store: freeAddress(t),
	}
	w.start("trefoilline-standin", "store", "--listen", w.store.String())
	w.until("the store answers", func() bool { return w.get("http://"+w.store.String()+objectstore.MachinesPath) != nil })
	for n := range 2 * len(regions) {
		w.addServer("server-"+strconv.Itoa(n+1), regions[n%len(regions)])
	}
	for n := range hosts {
		w.addHost("host-"+strconv.Itoa(n+1), regions[n%len(regions)])
	}
	w.operate("table", "apply", "table.csv", "--wait")
	return w
}

func freeAddress(t *testing.T) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// start runs a program until the test ends.
func (w *world) start(program string, arguments ...string) (*exec.Cmd, *bytes.Buffer) {
	command := exec.Command(filepath.Join(programs, program), arguments...)
	command.Env = append(os.Environ(), "TREFOILLINED_FLEET_SECRET="+secret)
	log := &bytes.Buffer{}
	command.Stderr = log
	require.NoError(w.t, command.Start())
	w.t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		_ = command.Wait()
		if w.t.Failed() {
			w.t.Logf("%s %v:\n%s", program, arguments, log)
		}
	})
	return command, log
}

func (w *world) addServer(name, region string) {
	m := &machine{
		Machine: objectstore.Machine{
			Name:    name,
			Kind:    objectstore.BackendServer,
			Region:  region,
			Zone:    region + "-a",
			Address: freeAddress(w.t),
			State:   objectstore.Live,
			Service: "storefront",
			Slots:   4,
		},
	}
	m.command, m.log = w.start("trefoilline-standin", "backend", "--listen", m.Address.String(), "--name", name, "--service-time", "5ms")
	w.list(m.Machine)
	w.servers = append(w.servers, m)
}

func (w *world) addHost(name, region string) *machine {
	m := &machine{
		Machine: objectstore.Machine{
			Name:    name,
			Kind:    objectstore.EntryHost,
			Region:  region,
			Zone:    region + "-a",
			Address: freeAddress(w.t),
			State:   objectstore.Live,
		},
	}
	w.list(m.Machine)
	m.command, m.log = w.start("trefoillined", "run", "--host", name, "--region", region, "--zone", m.Zone,
		"--listen", m.Address.String(), "--store", w.store.String(), "--look-up-validity", "1s")
	w.hosts = append(w.hosts, m)
	return m
}

// list puts a machine on the platform's list.
func (w *world) list(m objectstore.Machine) {
	body, err := json.Marshal(m)
	require.NoError(w.t, err)
	w.send(http.MethodPut, "http://"+w.store.String()+"/stand-in/machines/"+m.Name, string(body))
}

func (w *world) unlist(name string) {
	w.send(http.MethodDelete, "http://"+w.store.String()+"/stand-in/machines/"+name, "")
}

// storeFaults puts faults of the store in force, as its control reads them.
func (w *world) storeFaults(body string) {
	w.send(http.MethodPost, "http://"+w.store.String()+"/stand-in/faults", body)
}

func (w *world) serverFaults(m *machine, body string) {
	w.send(http.MethodPost, "http://"+m.Address.String()+"/stand-in/faults", body)
}

func (w *world) send(method, target, body string) {
	request, err := http.NewRequest(method, target, strings.NewReader(body))
	require.NoError(w.t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(w.t, err)
	response.Body.Close()
	require.Less(w.t, response.StatusCode, http.StatusBadRequest, target)
}

func (w *world) get(target string) *http.Response {
	response, err := http.Get(target)
	if err != nil {
		return nil
	}
	response.Body.Close()
	return response
}

// operate runs the operators' tool and returns its output.
func (w *world) operate(arguments ...string) string {
	output, err := w.tryOperate(arguments...)
	require.NoError(w.t, err, "%v: %s", arguments, output)
	return output
}

func (w *world) tryOperate(arguments ...string) (string, error) {
	command := exec.Command(filepath.Join(programs, "trefoilline"), arguments...)
	command.Env = append(os.Environ(), "TREFOILLINE_STORE="+w.store.String(), "TREFOILLINE_FLEET_SECRET="+secret)
	var errors bytes.Buffer
	command.Stderr = &errors
	output, err := command.Output()
	return string(output) + errors.String(), err
}

// issueKey issues a key and waits until a host takes it.
func (w *world) issueKey(team string) (key, hash string) {
	var issued struct {
		Key  string `json:"key"`
		Hash string `json:"hash"`
	}
	require.NoError(w.t, json.Unmarshal([]byte(w.operate("key", "issue", team, "--output", "json")), &issued))
	for _, h := range w.hosts {
		w.until("host takes the key", func() bool {
			return w.ask(h, issued.Key, http.MethodGet, "/stock").Status == http.StatusOK
		})
	}
	return issued.Key, issued.Hash
}

// ask sends one request straight to a host.
func (w *world) ask(h *machine, key, method, path string) caller.Result {
	ctx, cancel := context.WithTimeout(w.t.Context(), patience)
	defer cancel()
	return caller.SendDirect(ctx, h.Address, key, caller.Request{
		Method: method,
		Path:   path,
	})
}

// caller returns a caller that knows all hosts.
func (w *world) caller(key string) *caller.Caller {
	c := &caller.Caller{
		Key: key,
	}
	for _, h := range w.hosts {
		c.EntryHosts = append(c.EntryHosts, h.Address)
	}
	return c
}

// record returns what a backend server saw.
func (w *world) record(m *machine) backendstandin.RequestLog {
	response, err := http.Get("http://" + m.Address.String() + "/stand-in/record")
	require.NoError(w.t, err)
	defer response.Body.Close()
	var record backendstandin.RequestLog
	require.NoError(w.t, json.NewDecoder(response.Body).Decode(&record))
	return record
}

// status returns what a host says of itself.
func (w *world) status(h *machine) *trefoillinev1.StatusResponse {
	client := trefoillinev1connect.NewFleetServiceClient(http.DefaultClient, "http://"+h.Address.String(), connect.WithProtoJSON())
	request := connect.NewRequest(&trefoillinev1.StatusRequest{})
	request.Header().Set(header.FleetSecret, secret)
	response, err := client.Status(w.t.Context(), request)
	require.NoError(w.t, err)
	return response.Msg
}

// requireSound wants no broken invariant on the hosts.
func (w *world) requireSound(hosts ...*machine) {
	for _, h := range hosts {
		require.Zero(w.t, w.status(h).GetViolations(), h.Name)
	}
}

// until waits for a condition.
func (w *world) until(what string, holds func() bool) {
	w.t.Helper()
	require.Eventually(w.t, holds, patience, poll, what)
}

func (m *machine) signal(t *testing.T, s syscall.Signal) {
	require.NoError(t, m.command.Process.Signal(s))
}

// freeze stops a process and returns once none of its threads runs: the kernel
// tells the parent of a stop only then, and until then a thread may still answer.
func (m *machine) freeze(t *testing.T) {
	m.signal(t, syscall.SIGSTOP)
	var stopped unix.Siginfo
	require.NoError(t, unix.Waitid(unix.P_PID, m.command.Process.Pid, &stopped, unix.WSTOPPED, nil))
}

// kill ends a process at once, as a lost host does.
func (m *machine) kill(t *testing.T) {
	require.NoError(t, m.command.Process.Kill())
	_ = m.command.Wait()
}
