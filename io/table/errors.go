package table

import (
	"fmt"

	"heatherrouter/core/ident"
)

// ConflictError says that somebody else's transaction took the revision; nothing of the caller's was written.
type ConflictError struct {
	Doc   ident.Doc
	From  ident.Rev
	Found ident.Rev // revision that the document was found at
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("document %s is at revision %d, not %d", e.Doc, e.Found, e.From)
}

// UnavailableError says that the table service can't be used now; of a commit nothing was written, nor will be.
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

// UnknownError says that a transaction may have been written, or may yet be.
// Calling Commit again with the same arguments settles it.
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

// TooManyError says that a transaction has more changes than the table service takes at once.
type TooManyError struct {
	Doc     ident.Doc
	Changes int
}

// Error implements error.
func (e *TooManyError) Error() string {
	return fmt.Sprintf("transaction on document %s has %d changes, at most %d are possible", e.Doc, e.Changes, MaxChanges)
}
