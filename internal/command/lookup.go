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

// trefoilline lookup [CLIENT]
//
// Asks an entry host which hosts a client should use.
func newLookup() *cobra.Command {
	return addOutput(&cobra.Command{
		Use:     "lookup [CLIENT]",
		Short:   "Ask which entry hosts a client should use",
		Long:    "Ask an entry host which hosts the client at the IP address should use, in order.\nWithout an address, the answer is for this machine.",
		Example: "  trefoilline lookup 203.0.113.7 --hosts 10.1.0.4:8080",
		Args:    arguments(cobra.MaximumNArgs(1)),
		RunE: func(c *cobra.Command, given []string) error {
			client := ""
			if len(given) == 1 {
				address, err := netip.ParseAddr(given[0])
				if err != nil {
					return &InvalidArgumentError{
						Name:     "client",
						Value:    given[0],
						Accepted: "an IP address",
					}
				}
				client = address.String()
			}
			hosts, err := openHosts(c)
			if err != nil {
				return err
			}
			found, err := firstAnswer(c.Context(), hosts, func(ctx context.Context, host netip.AddrPort) (lookupAnswer, error) {
				return lookUp(ctx, host, client)
			})
			if err != nil {
				return err
			}
			return show(c, found)
		},
	})
}

// lookupAnswer is the answer of "lookup".
type lookupAnswer struct {
	Region   string        `json:"region"`
	ValidFor time.Duration `json:"valid-for"`
	Hosts    []lookupHost  `json:"hosts"`
}

// lookupHost is one host to use.
type lookupHost struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

func lookUp(ctx context.Context, host netip.AddrPort, client string) (lookupAnswer, error) {
	service := trefoillinev1connect.NewLookUpServiceClient(http.DefaultClient, "http://"+host.String(), connect.WithProtoJSON())
	response, err := service.LookUp(ctx, connect.NewRequest(&trefoillinev1.LookUpRequest{
		ClientAddress: client,
	}))
	if err != nil {
		return lookupAnswer{}, err
	}
	found := lookupAnswer{
		Region:   response.Msg.GetRegion(),
		ValidFor: response.Msg.GetValidFor().AsDuration(),
		Hosts:    []lookupHost{},
	}
	for _, h := range response.Msg.GetHosts() {
		found.Hosts = append(found.Hosts, lookupHost{
			Name:    h.GetName(),
			Region:  h.GetRegion(),
			Zone:    h.GetZone(),
			Address: h.GetAddress(),
		})
	}
	return found, nil
}

func (a lookupAnswer) grid() grid {
	region := "the client is in no block of the table"
	if a.Region != "" {
		region = "the client's region is " + a.Region
	}
	g := grid{
		before: []string{region, "valid for " + a.ValidFor.String()},
		header: []string{"HOST", "ADDRESS", "REGION", "ZONE"},
	}
	for _, h := range a.Hosts {
		g.rows = append(g.rows, []string{h.Name, h.Address, h.Region, h.Zone})
	}
	return g
}
