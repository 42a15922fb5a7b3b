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

// maxParallelCalls is how many hosts are asked at once.
const maxParallelCalls = 32

// hostClient asks entry hosts.
type hostClient struct {
	hosts   []netip.AddrPort
	timeout time.Duration
	http    *http.Client
}

// newHostClient returns a client of the hosts that the settings name, or else of
// those that the platform lists.
func newHostClient(c *cobra.Command) (hostClient, error) {
	s, err := readSettings(c)
	if err != nil {
		return hostClient{}, err
	}
	h := hostClient{
		hosts:   s.hosts,
		timeout: s.timeout,
		http: &http.Client{
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

// hostStatus is what one host said of itself, or the reason why it said
// nothing.
type hostStatus struct {
	Address netip.AddrPort `json:"address"`
	// Error is empty if the host answered.
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

// fetchStatuses asks every host, in the order of the hosts' names.
func (h hostClient) fetchStatuses(ctx context.Context) []hostStatus {
	found := make([]hostStatus, len(h.hosts))
	var calls errgroup.Group
	calls.SetLimit(maxParallelCalls)
	for i, host := range h.hosts {
		calls.Go(func() error {
			found[i] = h.fetchStatus(ctx, host)
			return nil
		})
	}
	// The calls report faults in their answers and return no error.
	_ = calls.Wait()
	slices.SortStableFunc(found, func(a, b hostStatus) int { return cmp.Compare(a.nameOrAddress(), b.nameOrAddress()) })
	return found
}

func (h hostClient) fetchStatus(ctx context.Context, host netip.AddrPort) hostStatus {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	client := trefoillinev1connect.NewFleetServiceClient(h.http, "http://"+host.String(), connect.WithProtoJSON())
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
		response:       m,
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

// callFirstAvailable asks the hosts one after the other until one answers.
func callFirstAvailable[A any](ctx context.Context, h hostClient, ask func(context.Context, netip.AddrPort) (A, error)) (A, error) {
	var none A
	var last error
	for _, host := range h.hosts {
		call, cancel := context.WithTimeout(ctx, h.timeout)
		found, err := ask(call, host)
		cancel()
		if err == nil {
			return found, nil
		}
		last = &HostCallError{
			Host:  host.String(),
			Cause: err,
		}
	}
	return none, last
}
