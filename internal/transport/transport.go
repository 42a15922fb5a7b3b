/*
Package transport makes the HTTP transport of calls to the store and to other hosts,
whose connections are found out soon when they fall silent: a machine without power
answers nothing, and a connection may be forgotten on the way.

# Usage

	client := &http.Client{
		Transport: transport.New(time.Second, 20*time.Second, 2),
	}
*/
package transport

import (
	"net"
	"net/http"
	"time"
)

// An idle connection is asked for a sign of life after a time, and given up after so
// many questions without one.
const (
	probePeriod = time.Second
	probes      = 2
)

// New returns a transport. Connect bounds the opening of a connection, idle is how long
// an unused one is kept, and perHost how many are kept for each address.
func New(connect, idle time.Duration, perHost int) *http.Transport {
	dialer := &net.Dialer{
		Timeout: connect,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probePeriod,
			Interval: probePeriod,
			Count:    probes,
		},
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		IdleConnTimeout:     idle,
		MaxIdleConnsPerHost: perHost,
	}
}
