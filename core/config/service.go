// Package config parses and validates the service files that operators publish, and models the configuration in force.
package config

import (
	"net/netip"
	"time"

	"heatherrouter/core/ident"
)

// Service is a service to which requests are routed, as its service file defines it.
type Service struct {
	Name    ident.Service
	Region  ident.Region
	Key     KeySource // nil for an unkeyed service
	Shards  int       // number of ranges into which the hash space is divided; 0 for an unkeyed service
	Servers []Server
	Kinds   []Kind

	path string // path of the service file, for findings
}

// Keyed reports whether each key of the service is owned by one backend server.
func (s *Service) Keyed() bool {
	return s.Key != nil
}

// Server is one backend server of a service.
type Server struct {
	ID           ident.Server
	Addr         netip.AddrPort
	Domain       ident.Domain
	Slots        int  // requests that it may run at once
	Conns        int  // connections that it accepts from all daemons together
	ChecksGrants bool // whether it rejects requests with an epoch lower than the highest that it has accepted

	line int // line in the service file, for findings
}

// KeySource says where in a request its key is: PathKey, HeaderKey or QueryKey.
type KeySource interface {
	keySource()
}

type (
	// PathKey uses a segment of the path below the service's own segment as the key.
	PathKey struct {
		Segment int // counted from 0
	}

	// HeaderKey uses the value of a header as the key.
	HeaderKey struct {
		Name string
	}

	// QueryKey uses the value of a query parameter as the key.
	QueryKey struct {
		Name string
	}
)

func (PathKey) keySource()   {}
func (HeaderKey) keySource() {}
func (QueryKey) keySource()  {}

// Priority orders the requests that wait for a slot of one server. Requests with a higher value are sent first.
type Priority int

// Kind is the policy for one kind of request.
type Kind struct {
	Name         string
	Methods      []string
	Path         string        // pattern of the path below the service's segment, as in "/rooster/*"; see CompilePattern
	Idempotent   bool          // whether a request may be sent again after an unknown outcome
	Timeout      time.Duration // longest time from arrival to the final response
	Priority     Priority
	MayWait      bool // whether a request may wait at the entry daemon until a server has capacity
	NeverDropped bool // whether an accepted request waits until its timeout and is never rejected in favour of others
	Streamed     bool // whether bodies may be large and are forwarded while they are received
}
