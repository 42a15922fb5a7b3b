package ticket_test

import (
	"fmt"
	"net/netip"

	"trefoilline.example/trefoilline/ticket"
)

// A host issues names, admits a payment under one of them, and recognizes it
// when it is sent again.
func ExampleRegistry() {
	register := &ticket.Registry{
		Host: netip.MustParseAddrPort("10.0.0.1:8000"),
	}
	names := register.Issue("escuela-nueva", 64)
	name, err := ticket.Parse(names.Ticket(0))
	if err != nil {
		fmt.Println(err)
		return
	}
	for range 2 {
		switch d := register.Admit(name, "escuela-nueva").(type) {
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
