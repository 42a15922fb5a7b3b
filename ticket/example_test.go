package ticket_test

import (
	"fmt"
	"net/netip"

	"trefoilline.example/trefoilline/ticket"
)

// A host issues a range of tickets, admits a payment with one of them, and
// recognizes the payment when it is sent again.
func ExampleRegistry() {
	registry := &ticket.Registry{
		Host: netip.MustParseAddrPort("10.0.0.1:8000"),
	}
	tickets := registry.Issue("escuela-nueva", 64)
	parsed, err := ticket.Parse(tickets.Ticket(0))
	if err != nil {
		fmt.Println(err)
		return
	}
	for range 2 {
		switch d := registry.Admit(parsed, "escuela-nueva").(type) {
		case *ticket.AdmittedByTicket:
			fmt.Println("runs")
			d.RecordResult(ticket.Responded)
		case ticket.Duplicate:
			fmt.Println("does not run again:", d.Result)
		}
	}
	// Output:
	// runs
	// does not run again: answered
}
