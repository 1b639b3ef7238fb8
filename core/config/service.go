// Package config is the model of the service files that operators publish, with their rules.
package config

import (
	"net/netip"
	"time"

	"heatherrouter/core/ident"
)

// Service is one routed service as its service file states it.
type Service struct {
	Name    ident.Service
	Region  ident.Region
	Key     KeySource // nil for an unkeyed service
	Shards  int       // how many ranges the hash space is cut into; 0 for an unkeyed service
	Servers []Server
	Kinds   []Kind

	path string // of the file, for findings
}

// Keyed reports whether each key of the service belongs to one backend server.
func (s *Service) Keyed() bool {
	return s.Key != nil
}

// Server is one backend server of a service.
type Server struct {
	ID           ident.Server
	Addr         netip.AddrPort
	Domain       ident.Domain
	Slots        int  // requests it may work on at once
	Conns        int  // connections it accepts in all
	ChecksGrants bool // refuses work under an epoch older than the highest it has taken

	line int // in the file, for findings
}

// KeySource says where in a request its key is found.
type KeySource interface {
	keySource()
}

type (
	// PathKey takes a segment of the path below the service's own segment.
	PathKey struct {
		Segment int // counted from 0
	}

	// HeaderKey takes the value of a header.
	HeaderKey struct {
		Name string
	}

	// QueryKey takes the value of a query parameter.
	QueryKey struct {
		Name string
	}
)

func (PathKey) keySource()   {}
func (HeaderKey) keySource() {}
func (QueryKey) keySource()  {}

// Priority orders kinds that wait for one slot; a higher one goes first.
type Priority int

// Kind is the policy for one kind of request.
type Kind struct {
	Name         string
	Methods      []string
	Path         string        // pattern below the service's segment: "/rooster/*", a "*" for one segment, a last "**" for any rest
	Idempotent   bool          // may be sent again after an unknown outcome
	Timeout      time.Duration // from arrival to the final answer
	Priority     Priority
	MayWait      bool // may be held at the entry until there is room
	NeverDropped bool // once accepted it is held until its timeout, never refused to make room
	Streamed     bool // bodies may be large and are passed on as they come
}
