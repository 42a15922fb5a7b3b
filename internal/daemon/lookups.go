package daemon

import (
	"context"
	"fmt"
	"net/netip"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	trefoillinev1 "trefoilline.example/trefoilline/api/trefoilline/v1"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/steer"
)

// maxTicketsPerLookUp is the maximum number of tickets that a host issues in answer to
// one look-up.
const maxTicketsPerLookUp = 1024

// lookUpService tells callers which entry hosts to send their requests to.
type lookUpService struct {
	daemon *daemon
}

// InvalidClientAddressError reports a look-up whose client address is not an IP
// address. Value is the address as received.
type InvalidClientAddressError struct {
	Value string
}

func (e *InvalidClientAddressError) Error() string {
	return fmt.Sprintf("client_address is %q; accepted: an IP address, or empty for the address of the sender", e.Value)
}

// NotReadyError reports a look-up to a host that has not applied a table yet.
type NotReadyError struct{}

func (*NotReadyError) Error() string {
	return "this entry host has not applied a table yet; send the look-up to another entry host"
}

// LookUp returns the entry hosts for a client, best first, and the requested number
// of tickets, up to maxTicketsPerLookUp. It fails with the code invalid argument if the
// client address is not an IP address, and unavailable if the host has no table yet
// or there is no entry host to return.
func (l *lookUpService) LookUp(_ context.Context, request *connect.Request[trefoillinev1.LookUpRequest]) (*connect.Response[trefoillinev1.LookUpResponse], error) {
	client, err := clientAddress(request.Msg.GetClientAddress(), request.Peer().Addr)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	selector := l.daemon.hostSelector.Load()
	if selector == nil {
		return nil, connect.NewError(connect.CodeUnavailable, &NotReadyError{})
	}
	team := l.daemon.teamOfKey(request.Header().Get(header.APIKey))
	result, err := selector.LookUp(steer.HostQuery{
		Client: client,
		Team:   team,
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := l.daemon.lookUpResponse(result)
	if count := request.Msg.GetTickets(); count > 0 {
		response.Tickets = l.daemon.issueTickets(team, int(min(count, maxTicketsPerLookUp)))
	}
	return connect.NewResponse(response), nil
}

func (d *daemon) lookUpResponse(result steer.HostSelection) *trefoillinev1.LookUpResponse {
	response := &trefoillinev1.LookUpResponse{
		Region:   result.Region,
		ValidFor: durationpb.New(min(result.Validity, d.settings.LookUpTTL)),
	}
	for _, h := range result.Hosts {
		response.Hosts = append(response.Hosts, &trefoillinev1.EntryHost{
			Name:    h.Name,
			Region:  h.Region,
			Zone:    h.Zone,
			Address: h.Address.String(),
		})
	}
	return response
}

// issueTickets issues tickets that only requests of the team can use.
func (d *daemon) issueTickets(team string, count int) *trefoillinev1.TicketRange {
	issued := d.ticketRegistry.Issue(team, count)
	tickets := &trefoillinev1.TicketRange{
		ValidFor: durationpb.New(issued.ValidFor),
	}
	for n := range issued.Count {
		tickets.Names = append(tickets.Names, issued.Ticket(n))
	}
	return tickets
}

// teamOfKey returns the team of an API key, or an empty string if the key is missing
// or not valid, because a look-up does not need a key.
func (d *daemon) teamOfKey(key string) string {
	name, err := d.keys.keySet.View().Verify(key)
	if err != nil {
		return ""
	}
	return name
}

// clientAddress returns the declared address of the client, or the address that the
// look-up was sent from if none is declared.
func clientAddress(declared, sender string) (netip.Addr, error) {
	if declared != "" {
		address, err := netip.ParseAddr(declared)
		if err != nil {
			return netip.Addr{}, &InvalidClientAddressError{
				Value: declared,
			}
		}
		return address.Unmap(), nil
	}
	peerAddress, err := netip.ParseAddrPort(sender)
	if err != nil {
		return netip.Addr{}, &InvalidClientAddressError{
			Value: sender,
		}
	}
	return peerAddress.Addr().Unmap(), nil
}
