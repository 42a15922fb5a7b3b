package command

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	trefoillinev1 "trefoilline.example/trefoilline/api/trefoilline/v1"
	"trefoilline.example/trefoilline/api/trefoilline/v1/trefoillinev1connect"
)

// newLookUpCommand returns the command that calls an entry host to find out which hosts a
// client should connect to:
//
//	trefoilline lookup [CLIENT]
func newLookUpCommand() *cobra.Command {
	return addOutputFlag(&cobra.Command{
		Use:     "lookup [CLIENT]",
		Short:   "Show which entry hosts a client should connect to",
		Long:    "Ask an entry host which hosts the client with the IP address should connect to, in\norder of preference. Without an address, the host uses the address that the call\ncomes from.",
		Example: "  trefoilline lookup 203.0.113.7 --hosts 10.1.0.4:8080",
		Args:    withUsageError(cobra.MaximumNArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			client := ""
			if len(args) == 1 {
				address, err := netip.ParseAddr(args[0])
				if err != nil {
					return &InvalidArgumentError{
						Name:     "client",
						Value:    args[0],
						Accepted: "an IP address",
					}
				}
				client = address.String()
			}
			hosts, err := newHostClient(c)
			if err != nil {
				return err
			}
			result, err := callFirstAvailable(c.Context(), hosts, func(ctx context.Context, host netip.AddrPort) (lookUpResult, error) {
				return fetchLookUp(ctx, host, client)
			})
			if err != nil {
				return err
			}
			return printResult(c, result)
		},
	})
}

// lookUpResult is the result of "lookup".
type lookUpResult struct {
	Region   string        `json:"region"`
	ValidFor time.Duration `json:"valid-for"`
	Hosts    []lookUpHost  `json:"hosts"`
}

// lookUpHost is one host that the client should connect to.
type lookUpHost struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// fetchLookUp calls the look-up service of a host, which needs no secret.
func fetchLookUp(ctx context.Context, host netip.AddrPort, client string) (lookUpResult, error) {
	service := trefoillinev1connect.NewLookUpServiceClient(http.DefaultClient, "http://"+host.String(), connect.WithProtoJSON())
	response, err := service.LookUp(ctx, connect.NewRequest(&trefoillinev1.LookUpRequest{
		ClientAddress: client,
	}))
	if err != nil {
		return lookUpResult{}, err
	}
	result := lookUpResult{
		Region:   response.Msg.GetRegion(),
		ValidFor: response.Msg.GetValidFor().AsDuration(),
		Hosts:    []lookUpHost{},
	}
	for _, h := range response.Msg.GetHosts() {
		result.Hosts = append(result.Hosts, lookUpHost{
			Name:    h.GetName(),
			Region:  h.GetRegion(),
			Zone:    h.GetZone(),
			Address: h.GetAddress(),
		})
	}
	return result, nil
}

func (r lookUpResult) textOutput() textOutput {
	region := "no client block of the table contains the client"
	if r.Region != "" {
		region = "the client's region is " + r.Region
	}
	text := textOutput{
		linesBefore: []string{region, "valid for " + r.ValidFor.String()},
		header:      []string{"HOST", "ADDRESS", "REGION", "ZONE"},
	}
	for _, h := range r.Hosts {
		text.rows = append(text.rows, []string{h.Name, h.Address, h.Region, h.Zone})
	}
	return text
}
