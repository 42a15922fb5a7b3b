/*
Package transport returns the HTTP transport of the daemon in package internal/host, for
requests to the object store and to other hosts. (The daemon in package internal/daemon
uses the transport of package fleetauth between hosts.) It detects broken connections within
a few seconds by TCP keep-alive: a machine that has lost power does not close its
connections, and a firewall or NAT device on the path may forget a connection.

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
func New(dialTimeout, idleTimeout time.Duration, maxIdlePerHost int) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
	}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}
