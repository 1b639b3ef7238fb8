package route

import (
	"fmt"
	"strings"

	"heatherrouter/core/config"
	"heatherrouter/core/ident"
)

// Error says why a request could not be matched. Its implementations are *UnknownServiceError, *NoKindError,
// *WrongMethodError and *NoKeyError.
type Error interface {
	error

	// Reason returns a machine-readable reason in kebab case.
	Reason() string
	routeError()
}

type (
	// UnknownServiceError reports that no published service has the name.
	UnknownServiceError struct {
		Service ident.Service
	}

	// NoKindError reports that no kind of the service matches the path.
	NoKindError struct {
		Service ident.Service
	}

	// WrongMethodError reports that some kind matches the path, but none of them allows the method.
	WrongMethodError struct {
		Service ident.Service
		Allowed []string // methods allowed for the path, sorted
	}

	// NoKeyError reports that the request has no key, but its service requires one.
	NoKeyError struct {
		Service ident.Service
		Source  config.KeySource
	}
)

func (*UnknownServiceError) routeError() {}
func (*NoKindError) routeError()         {}
func (*WrongMethodError) routeError()    {}
func (*NoKeyError) routeError()          {}

// Reason implements Error.
func (*UnknownServiceError) Reason() string { return "unknown-service" }

// Reason implements Error.
func (*NoKindError) Reason() string { return "unknown-path" }

// Reason implements Error.
func (*WrongMethodError) Reason() string { return "wrong-method" }

// Reason implements Error.
func (*NoKeyError) Reason() string { return "no-key" }

func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("no service %q is published", e.Service)
}

func (e *NoKindError) Error() string {
	return fmt.Sprintf("service %q has no kind of request for this path", e.Service)
}

func (e *WrongMethodError) Error() string {
	return fmt.Sprintf("service %q allows only %s for this path", e.Service, strings.Join(e.Allowed, ", "))
}

func (e *NoKeyError) Error() string {
	return fmt.Sprintf("service %q needs a key in the %s", e.Service, keyLocation(e.Source))
}

func keyLocation(s config.KeySource) string {
	switch k := s.(type) {
	case config.PathKey:
		return fmt.Sprintf("path, segment %d after the service", k.Segment)
	case config.HeaderKey:
		return "header " + k.Name
	case config.QueryKey:
		return "query parameter " + k.Name
	}
	return "request"
}
