package command

import (
	"cmp"
	"context"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	trefoillinev1 "trefoilline.example/trefoilline/api/trefoilline/v1"
	"trefoilline.example/trefoilline/api/trefoilline/v1/trefoillinev1connect"
	"trefoilline.example/trefoilline/internal/secret"
	"trefoilline.example/trefoilline/objectstore"
)

// maxParallelCalls is the maximum number of concurrent calls to hosts.
const maxParallelCalls = 32

// hostClient calls entry hosts.
type hostClient struct {
	hosts      []netip.AddrPort
	timeout    time.Duration
	httpClient *http.Client
}

// newHostClient returns a client of the hosts given in the settings or, without any, of
// all entry hosts listed in the platform's store. It returns a NoEntryHostError if there
// are none.
func newHostClient(c *cobra.Command) (hostClient, error) {
	s, err := readSettings(c)
	if err != nil {
		return hostClient{}, err
	}
	h := hostClient{
		hosts:   s.hosts,
		timeout: s.timeout,
		httpClient: &http.Client{
			Transport: &secret.Transport{
				Secret: s.secret,
			},
		},
	}
	if len(h.hosts) == 0 && s.store != "" {
		h.hosts, err = hostsFromStore(c.Context(), s)
	}
	if err == nil && len(h.hosts) == 0 {
		err = &NoEntryHostError{}
	}
	return h, err
}

func hostsFromStore(ctx context.Context, s settings) ([]netip.AddrPort, error) {
	store, err := s.storeClient()
	if err != nil {
		return nil, err
	}
	machines, err := store.Machines(ctx)
	if err != nil {
		return nil, err
	}
	var hosts []netip.AddrPort
	for _, m := range machines {
		if m.Kind == objectstore.EntryHost {
			hosts = append(hosts, m.Address)
		}
	}
	return hosts, nil
}

// hostStatus is the status of one host, or the error of the call for it.
type hostStatus struct {
	Address netip.AddrPort `json:"address"`
	// Error is empty if the call succeeded.
	Error        string        `json:"fault,omitempty"`
	Name         string        `json:"name"`
	Region       string        `json:"region"`
	Zone         string        `json:"zone"`
	State        string        `json:"state"`
	Incarnation  uint64        `json:"incarnation"`
	TableVersion uint64        `json:"table-version"`
	KeysVersion  uint64        `json:"keys-version"`
	KeysAge      time.Duration `json:"keys-age"`
	Violations   uint64        `json:"violations"`

	response *trefoillinev1.StatusResponse
}

func (s hostStatus) nameOrAddress() string { return cmp.Or(s.Name, s.Address.String()) }

// fetchStatuses calls all hosts in parallel and returns their statuses, sorted by the
// name of the host, or its address if the call failed.
func (h hostClient) fetchStatuses(ctx context.Context) []hostStatus {
	statuses := make([]hostStatus, len(h.hosts))
	var calls errgroup.Group
	calls.SetLimit(maxParallelCalls)
	for i, host := range h.hosts {
		calls.Go(func() error {
			statuses[i] = h.fetchStatus(ctx, host)
			return nil
		})
	}
	// The calls return their errors in the statuses, so Wait returns none.
	_ = calls.Wait()
	slices.SortStableFunc(statuses, func(a, b hostStatus) int { return cmp.Compare(a.nameOrAddress(), b.nameOrAddress()) })
	return statuses
}

func (h hostClient) fetchStatus(ctx context.Context, host netip.AddrPort) hostStatus {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	client := trefoillinev1connect.NewFleetServiceClient(h.httpClient, "http://"+host.String(), connect.WithProtoJSON())
	response, err := client.Status(ctx, connect.NewRequest(&trefoillinev1.StatusRequest{}))
	if err != nil {
		return hostStatus{
			Address: host,
			Error:   err.Error(),
		}
	}
	m := response.Msg
	return hostStatus{
		Address:      host,
		Name:         m.GetHost().GetName(),
		Region:       m.GetHost().GetRegion(),
		Zone:         m.GetHost().GetZone(),
		State:        stateName(m.GetState()),
		Incarnation:  m.GetIncarnation(),
		TableVersion: m.GetTableVersion(),
		KeysVersion:  m.GetKeysVersion(),
		KeysAge:      m.GetKeysAge().AsDuration(),
		Violations:   m.GetViolations(),
		response:     m,
	}
}

func stateName(state trefoillinev1.HostState) string {
	switch state {
	case trefoillinev1.HostState_HOST_STATE_STARTING:
		return "starting"
	case trefoillinev1.HostState_HOST_STATE_LIVE:
		return "live"
	case trefoillinev1.HostState_HOST_STATE_LEAVING:
		return "leaving"
	}
	return "unknown"
}

// callFirstAvailable calls the hosts one after the other and returns the first result.
// If all calls fail, it returns the error of the last one.
func callFirstAvailable[A any](ctx context.Context, h hostClient, call func(context.Context, netip.AddrPort) (A, error)) (A, error) {
	var zero A
	var lastErr error
	for _, host := range h.hosts {
		callCtx, cancel := context.WithTimeout(ctx, h.timeout)
		result, err := call(callCtx, host)
		cancel()
		if err == nil {
			return result, nil
		}
		lastErr = &HostCallError{
			Host:  host.String(),
			Cause: err,
		}
	}
	return zero, lastErr
}
