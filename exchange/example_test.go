package exchange_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"

	"trefoilline.example/trefoilline/exchange"
)

// This example sends a request to a backend server that has shut down: the request
// was not run.
func ExampleClient_Send() {
	stopped := httptest.NewServer(nil)
	address := netip.MustParseAddrPort(stopped.Listener.Addr().String())
	stopped.Close()

	client := &exchange.Client{}
	request := &exchange.Request{
		ID:     "payment-1",
		Method: http.MethodPost,
		URL: &url.URL{
			Path: "/payments",
		},
	}
	switch o := client.Send(context.Background(), address, request).(type) {
	case *exchange.Response:
		defer o.Close()
		fmt.Println("response with status", o.Status)
	case exchange.NotRun:
		fmt.Println("not run:", o.Reason())
	case *exchange.Unknown:
		fmt.Println("may have run:", o.Reason)
	}
	// Output:
	// not run: backend-server-unreached
}
