package admin

import (
	"fmt"
	"time"

	"heatherrouter/core/ident"
)

// ConflictError says that the configuration has moved on since the operator looked; nothing was changed.
type ConflictError struct {
	Base    ident.Rev `json:"base-rev"`    // what the operator built on
	Current ident.Rev `json:"current-rev"` // what is in force
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the configuration is at revision %d, the change builds on revision %d", e.Current, e.Base)
}

// UnavailableError says that the platform or the daemons could not be reached and that certainly nothing was changed.
type UnavailableError struct {
	RetryAfter time.Duration
	Cause      string // a whole sentence for people, such as "the table can't be reached: no route"
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return e.Cause
}

// UnknownError says that the reply to a transaction was lost: it may have taken effect.
// The same request with the same transaction id settles it.
type UnknownError struct {
	Txn   ident.Txn
	Cause string
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("the outcome of transaction %s is not known: %s", e.Txn, e.Cause)
}

// NotFoundError says that there is nothing of that name.
type NotFoundError struct {
	What string // such as "service"
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("there is no %s %q", e.What, e.Name)
}
