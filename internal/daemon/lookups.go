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

// maxTickets is how many names one look-up may ask for.
const maxTickets = 1024

// lookUps answers callers' look-ups.
type lookUps struct {
	daemon *daemon
}

// ClientAddressError reports a look-up for what is no IP address.
type InvalidClientAddressError struct {
	Value string
}

func (e *InvalidClientAddressError) Error() string {
	return fmt.Sprintf("client_address is %q; accepted: an IP address, or nothing for the sender's own", e.Value)
}

// NotReadyError reports a look-up to a host that has no table or list yet.
type NotReadyError struct{}

func (*NotReadyError) Error() string {
	return "this entry host has no table yet; ask another"
}

// LookUp returns the entry hosts for a client, best first.
func (l *lookUps) LookUp(_ context.Context, request *connect.Request[trefoillinev1.LookUpRequest]) (*connect.Response[trefoillinev1.LookUpResponse], error) {
	client, err := clientOf(request.Msg.GetClientAddress(), request.Peer().Addr)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	lookup := l.daemon.lookup.Load()
	if lookup == nil {
		return nil, connect.NewError(connect.CodeUnavailable, &NotReadyError{})
	}
	holder := l.daemon.teamOf(request.Header().Get(header.APIKey))
	answer, err := lookup.LookUp(steer.HostQuery{
		Client: client,
		Team:   holder,
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := l.daemon.lookUpResponse(answer)
	if count := request.Msg.GetTickets(); count > 0 {
		response.Tickets = l.daemon.ticketRange(holder, int(min(count, maxTickets)))
	}
	return connect.NewResponse(response), nil
}

func (d *daemon) lookUpResponse(answer steer.HostSelection) *trefoillinev1.LookUpResponse {
	response := &trefoillinev1.LookUpResponse{
		Region:   answer.Region,
		ValidFor: durationpb.New(min(answer.Validity, d.settings.LookUpTTL)),
	}
	for _, h := range answer.Hosts {
		response.Hosts = append(response.Hosts, &trefoillinev1.EntryHost{
			Name:    h.Name,
			Region:  h.Region,
			Zone:    h.Zone,
			Address: h.Address.String(),
		})
	}
	return response
}

// ticketRange issues names that only requests of the holder can use.
func (d *daemon) ticketRange(holder string, count int) *trefoillinev1.TicketRange {
	issued := d.register.Issue(holder, count)
	tickets := &trefoillinev1.TicketRange{
		ValidFor: durationpb.New(issued.ValidFor),
	}
	for n := range issued.Count {
		tickets.Names = append(tickets.Names, issued.Ticket(n))
	}
	return tickets
}

// teamOf returns the team of a key, or none: a look-up needs no key.
func (d *daemon) teamOf(key string) string {
	name, err := d.keys.holder.View().Verify(key)
	if err != nil {
		return ""
	}
	return name
}

func clientOf(stated, peer string) (netip.Addr, error) {
	if stated != "" {
		address, err := netip.ParseAddr(stated)
		if err != nil {
			return netip.Addr{}, &InvalidClientAddressError{
				Value: stated,
			}
		}
		return address.Unmap(), nil
	}
	sender, err := netip.ParseAddrPort(peer)
	if err != nil {
		return netip.Addr{}, &InvalidClientAddressError{
			Value: peer,
		}
	}
	return sender.Addr().Unmap(), nil
}
