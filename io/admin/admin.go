// Package admin is the daemon's HTTP page for operators, the balancer and metrics, and the types that the
// operators' client shares with it.
package admin

import (
	"context"

	"heatherrouter/core/ident"
)

// Backend is what the daemon knows and does behind the page. All calls may come at once from several goroutines.
//
// Errors may be wrapped; the page tells check.Findings, ConflictError, UnavailableError, UnknownError and
// NotFoundError apart, and calls anything else an internal failure.
type Backend interface {
	// Ready reports whether the balancer may send callers here, and if not, why, in kebab case.
	Ready() (ok bool, reason string)
	// State returns a dump of the process for JSON.
	State() any
	Status() Status
	Services() []Service
	Service(ident.Service) (Service, error)
	Shards(ident.Service) ([]Shard, error)
	Servers() []Server
	Domains() []Domain
	ConfigRev() ident.Rev
	InForce(ident.Rev) InForce
	Publish(context.Context, Publish) (Published, error)
	Drain(context.Context, Drain) (Drained, error)
	Restore(context.Context, Drain) (Drained, error)
}
