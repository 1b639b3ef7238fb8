// Package site models one deployment as its daemons see it: the routes and services of the configuration in force, the
// announced backend servers and daemons, and the coordinator.
package site

import (
	"net/netip"
	"time"

	"heatherrouter/core/check"
	"heatherrouter/core/crash"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// Version is the number of a configuration. Later configurations have higher numbers; numbers may be skipped.
type Version uint64

// Config is one configuration as its operator wrote it. It is immutable once it is built.
type Config struct {
	Version  Version
	Services map[ident.Service]*Service
	Limits   Limits
	Findings check.Findings // entries that are unknown, or whose requests are refused

	hosts         map[string][]*Route // routes of each host, the longest prefix first
	organisations map[ident.Organisation]*Organisation
	keyOwners     map[KeyDigest]*Organisation
	mixed         map[ident.Service]bool // services to which requests of different priorities may go
}

// Limits bounds the size of a caller's requests and the time in which it must send them.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration // longest time from the first to the last byte of a request's header
	IdleTimeout    time.Duration // longest time between two requests on one connection
}

// DefaultLimits returns the limits that apply before a daemon has a configuration. It rejects all requests until then, so
// small headers suffice.
func DefaultLimits() Limits {
	return Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// Service is a service to which requests are routed.
type Service struct {
	Name       ident.Service
	HealthPath string
	MaxConns   int     // connections that one backend server accepts from all daemons together
	WarmupRate float64 // requests a second that a cold backend server can serve, from all daemons together
	Keyed      bool    // whether each key is owned by one backend server

	Unsupported string // why requests for the service are refused; empty if they are served
}

// Route is the policy for the requests under one prefix of one host.
type Route struct {
	Name           string
	Host           string
	Prefix         string // begins and ends with a slash
	Idempotent     bool   // whether a request may run more than once
	Timeout        time.Duration
	TargetLatency  time.Duration // desired response time; a slower response is worth less to the caller
	MaxAttempts    int           // most backend servers to which one request may be sent
	Priority       int           // 0 is the highest
	AllowAnonymous bool          // whether callers without a valid API key are served
	Parts          []Part

	Unsupported string // why requests on the route are refused; empty if they are served
}

// Part is the share of a route's requests that goes to one service.
type Part struct {
	Service ident.Service
	Weight  float64
}

// Server is one incarnation of a backend server, as it announced itself.
type Server struct {
	ID        ident.Server
	Service   ident.Service
	Addr      netip.AddrPort
	Domain    ident.Domain
	Slots     int
	Draining  bool
	Born      int64 // start time in Unix milliseconds; identifies the incarnation
	Sequence  int64 // number of the announcement within the incarnation
	ColdUntil mono.Time
}

// Daemon is one daemon, as it announced itself to its peers.
type Daemon struct {
	Name        ident.Daemon
	Domain      ident.Domain
	Peer        netip.AddrPort
	Incarnation ident.Incarnation
	Capacity    int      // CPU capacity in thousandths of a core
	Fingerprint [32]byte // SHA-256 digest of the certificate that the daemon generated when it started
}

// Term is the number of a coordinator's term of office. Each new coordinator has a higher term.
type Term uint64

// Coordinator is the daemon that has the coordinator role: it assigns keys to backend servers.
type Coordinator struct {
	Daemon        ident.Daemon
	Incarnation   ident.Incarnation
	Term          Term
	Clean         bool // whether all earlier coordinators are guaranteed to have stopped
	WithoutQuorum bool // whether the coordinator may act without the support of a quorum
}

// Snapshot is the state of the site as a daemon knows it at one moment. It is immutable once it is built.
type Snapshot struct {
	Config      *Config // nil until a configuration is loaded
	Rejected    error   // error of the newest configuration row if that isn't in force; nil otherwise
	Servers     map[ident.Server]*Server
	Evacuated   map[ident.Domain]bool
	Daemons     map[ident.Daemon]*Daemon
	Coordinator Coordinator
	Voters      []ident.Daemon // daemons of which the coordinator needs a majority; empty if its row names none
	Crashes     crash.Records  // requests during which servers crashed

	services map[ident.Service][]*Server
}

// BuildIndex builds the lookup by service from the exported fields and returns s. It must be called before ServersOf.
func (s *Snapshot) BuildIndex() *Snapshot {
	s.services = map[ident.Service][]*Server{}
	for _, x := range s.Servers {
		s.services[x.Service] = append(s.services[x.Service], x)
	}
	for _, l := range s.services {
		sortServers(l)
	}
	return s
}

// largeSite is the number of daemons from which on a site counts as large.
const largeSite = 48

// IsLarge reports whether the site has so many daemons that each of them sees too little of a backend server by itself: the daemons
// then share what they know of the servers' load, and the sending to them.
func (s *Snapshot) IsLarge() bool { return len(s.Daemons) >= largeSite }

// ServersOf returns the backend servers of a service, ordered by id.
func (s *Snapshot) ServersOf(n ident.Service) []*Server {
	return s.services[n]
}

// Accepts reports whether new requests may be sent to the server: this incarnation is still announced, it isn't draining,
// and its failure domain isn't evacuated.
func (s *Snapshot) Accepts(x *Server) bool {
	current := s.Servers[x.ID]
	return current != nil && current.Born == x.Born && current.Addr == x.Addr && !current.Draining && !s.Evacuated[current.Domain]
}
