/*
Package transport returns the HTTP transports for requests to the object store and to other
hosts. [New] is for the daemon in package internal/host, [NewDefault] for all else. (Package
exchange has transports of its own.)

The transports of New detect broken connections within a few seconds by TCP keep-alive: a
machine that has lost power does not close its connections, and a firewall or NAT device on
the path may forget a connection.

The connections of all transports are of type [Conn], so that the loss of a connection is not
taken for the end of a response. [Checked] rejects responses with invalid field names, which
package net/http does not.

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

// The TCP keep-alive settings of a connection.
const (
	// keepAliveInterval is the time after which an idle connection is probed, and the
	// time between probes.
	keepAliveInterval = time.Second
	// keepAliveProbes is the number of unanswered probes after which the connection is
	// closed.
	keepAliveProbes = 2
)

// maxHeaderBytes limits the headers of a response.
const maxHeaderBytes = 64 << 10

// New returns a transport. The dialTimeout limits the time to open a connection, idleTimeout
// is how long an unused connection is kept, and maxIdlePerHost is the largest number of
// unused connections that are kept to each address.
func New(dialTimeout, idleTimeout time.Duration, maxIdlePerHost int) *Checked {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
	}
	return &Checked{
		Base: &http.Transport{
			DialContext:            WithLossDetection(dialer.DialContext),
			DisableCompression:     true,
			IdleConnTimeout:        idleTimeout,
			MaxIdleConnsPerHost:    maxIdlePerHost,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}
}

// NewDefault returns a transport with the settings of [http.DefaultTransport] and without a
// proxy, which keeps up to maxIdlePerHost unused connections to each address.
func NewDefault(maxIdlePerHost int) *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.DialContext = WithLossDetection(t.DialContext)
	t.Proxy = nil
	t.MaxIdleConnsPerHost = maxIdlePerHost
	return t
}
