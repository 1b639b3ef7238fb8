package node

import (
	"net/netip"
	"time"

	"heatherrouter/core/ident"
)

// Settings are what a daemon needs to know before it starts.
type Settings struct {
	Name     ident.Daemon
	Domain   ident.Domain
	Region   ident.Region
	Entry    netip.AddrPort // for callers
	Ready    netip.AddrPort // for the balancer's question whether the daemon takes callers
	Peer     netip.AddrPort // for other daemons
	Admin    netip.AddrPort // for operators: state and metrics
	Store    netip.AddrPort
	Capacity int   // of the processor, in thousandths of a core; 0 when unknown
	Memory   int64 // bytes that the process may use; 0 for no limit
	Limits   Limits
}

// Limits are the figures that the users of the site hold the router to.
type Limits struct {
	Grace       time.Duration // from the signal to stop until the process is killed
	RetryRatio  float64       // of the requests for a service, that may be sent more than once
	RetrySlack  float64       // sends beyond that
	RetryWindow time.Duration // in which both are counted
	ColdFactor  float64       // of the rate that a cold server states, that it may be sent
	ColdSlack   float64       // requests beyond that in one second
	MaxHold     time.Duration // of a grant of keys

	MaxCopyAge time.Duration // of the configuration copy that keys are checked against; 0 for no limit

	QuotaWindow    time.Duration // over which an organisation's requests are counted
	QuotaOvershoot float64       // share by which an organisation's limit may be exceeded
	QuotaSlack     float64       // additional requests allowed per window
}
