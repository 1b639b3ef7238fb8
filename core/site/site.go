// Package site is the model of one deployment as its daemons see it: the routes and services that operators put into
// force, the backend servers that are there, and which of them holds which keys.
package site

import (
	"net/netip"
	"time"

	"heatherrouter/core/crash"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// Version numbers the configurations of operators; they grow, in uneven steps.
type Version uint64

// Config is one configuration as its operator wrote it. It never changes once it is built.
type Config struct {
	Version  Version
	Services map[ident.Service]*Service
	Limits   Limits

	hosts         map[string][]*Route // by host, the longest prefix first
	organisations map[ident.Organisation]*Organisation
	keyOwners     map[KeyDigest]*Organisation
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderTime  time.Duration // from the first byte of a head to its last
	IdleTime    time.Duration // between two requests on one connection
}

// DefaultLimits hold before a daemon knows any configuration: it answers that it doesn't, and needs no large heads.
func DefaultLimits() Limits {
	return Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second}
}

// Service is one routed service.
type Service struct {
	Name       ident.Service
	HealthPath string
	Conns      int     // that one backend server accepts from all daemons together
	WarmRate   float64 // requests a second that a cold backend server carries, from all daemons together
	Keyed      bool    // each key is held by one backend server
}

// Route is the policy for the requests under one prefix of one host.
type Route struct {
	Name           string
	Host           string
	Prefix         string // begins and ends with a slash
	Idempotent     bool   // may run more than once
	Timeout        time.Duration
	Target         time.Duration // an answer within it is worth most to its caller
	Attempts       int           // backend servers to which one request may be sent
	Priority       int           // 0 is the highest
	AllowAnonymous bool          // serves callers without a valid API key, too
	Parts          []Part
}

// Part is the share of a route's requests that goes to one service.
type Part struct {
	Service ident.Service
	Weight  float64
}

// Server is one life of a backend server, as it announced itself.
type Server struct {
	ID        ident.Server
	Service   ident.Service
	Addr      netip.AddrPort
	Domain    ident.Domain
	Slots     int
	Draining  bool
	Born      int64 // names the life: Unix milliseconds of its start
	ColdUntil mono.Time
}

// Daemon is one daemon as it announced itself to its peers.
type Daemon struct {
	Name        ident.Daemon
	Domain      ident.Domain
	Peer        netip.AddrPort
	Incarnation ident.Incarnation
	Capacity    int      // of its processor, in thousandths of a core
	Fingerprint [32]byte // SHA-256 of the certificate that it made at its start
}

// Term numbers the coordinators of the site, one after the other.
type Term uint64

// Coordinator is the daemon whose turn it is to move keys between backend servers.
type Coordinator struct {
	Daemon        ident.Daemon
	Incarnation   ident.Incarnation
	Term          Term
	Clean         bool // the coordinator before had surely stopped
	WithoutQuorum bool // it doesn't need the support of a quorum
}

// Snapshot is all that a daemon knows at one moment. It never changes once it is built.
type Snapshot struct {
	Config      *Config // nil until the first one is known
	Servers     map[ident.Server]*Server
	Evacuated   map[ident.Domain]bool
	Daemons     map[ident.Daemon]*Daemon
	Coordinator Coordinator
	Voters      []ident.Daemon // whose majority the coordinator needs; none where its row names none
	Crashes     crash.Records  // requests under which servers crashed

	services map[ident.Service][]*Server
}

// Finish builds the lookups of a snapshot whose fields are set.
func (s *Snapshot) Finish() *Snapshot {
	s.services = map[ident.Service][]*Server{}
	for _, x := range s.Servers {
		s.services[x.Service] = append(s.services[x.Service], x)
	}
	for _, l := range s.services {
		sortServers(l)
	}
	return s
}

// Service returns the backend servers of a service, ordered by their ids.
func (s *Snapshot) Service(n ident.Service) []*Server {
	return s.services[n]
}

// Takes reports whether new work may be sent to the server: it is still announced in that life, it stays, and its
// failure domain isn't evacuated.
func (s *Snapshot) Takes(x *Server) bool {
	now := s.Servers[x.ID]
	return now != nil && now.Born == x.Born && now.Addr == x.Addr && !now.Draining && !s.Evacuated[now.Domain]
}
