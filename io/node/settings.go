package node

import (
	"net/netip"
	"time"

	"heatherrouter/core/ident"
)

// Settings configure a daemon at its start.
type Settings struct {
	Name     ident.Daemon
	Domain   ident.Domain
	Region   ident.Region
	Regions  map[ident.Domain]ident.Region // region of each failure domain
	Entry    netip.AddrPort                // address for callers
	Ready    netip.AddrPort                // address for the balancer's readiness check
	Peer     netip.AddrPort                // address for other daemons
	Admin    netip.AddrPort                // address for operators: state and metrics
	Store    netip.AddrPort                // address of the platform's store
	Capacity int                           // processor capacity in thousandths of a core; 0 if unknown
	Memory   int64                         // memory limit of the process in bytes; 0 for no limit
	Sockets  int                           // sockets that the process may open; 0 for no limit
	Limits   Limits

	// Shares is whether requests are refused by priority while a service is short of capacity.
	Shares bool
}

// Limits are the bounds on the router's behaviour that the users of a site require.
type Limits struct {
	GracePeriod time.Duration // time from the signal to stop until the process is killed
	RetryRatio  float64       // retries allowed as a share of the requests for a service
	RetrySlack  float64       // additional retries allowed per window
	RetryWindow time.Duration // window in which requests and retries are counted
	ColdFactor  float64       // factor on the rate that a cold server states
	ColdSlack   float64       // additional requests to a cold server allowed per second
	MaxGrantTTL time.Duration // longest time for which a grant of keys is valid

	MaxCopyAge time.Duration // greatest age of the configuration copy that API keys are checked against; 0 for no limit

	QuotaWindow    time.Duration // window in which an organisation's requests are counted
	QuotaOvershoot float64       // share by which an organisation's limit may be exceeded
	QuotaSlack     float64       // additional requests allowed per window
}
