package table

import (
	"fmt"

	"heatherrouter/core/ident"
)

// ConflictError reports that another transaction wrote the revision. No change of the caller was written.
type ConflictError struct {
	Doc   ident.Doc
	From  ident.Rev
	Found ident.Rev // current revision of the document
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("document %s is at revision %d, want %d", e.Doc, e.Found, e.From)
}

// UnavailableError reports that the table service is unavailable. A commit was not written and never will be.
type UnavailableError struct {
	Doc ident.Doc
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("table service unavailable for document %s: %v", e.Doc, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownError reports that a transaction may have been written or may still be.
// Calling Commit again with the same arguments determines the outcome.
type UnknownError struct {
	Doc  ident.Doc
	From ident.Rev
	Txn  ident.Txn
	Err  error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("transaction %s on document %s after revision %d has an unknown outcome: %v", e.Txn, e.Doc, e.From, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// TooManyError reports that a transaction has more than MaxChanges changes.
type TooManyError struct {
	Doc     ident.Doc
	Changes int
}

// Error implements error.
func (e *TooManyError) Error() string {
	return fmt.Sprintf("transaction on document %s has %d changes, the limit is %d", e.Doc, e.Changes, MaxChanges)
}
