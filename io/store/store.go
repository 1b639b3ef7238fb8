// Package store defines the interface to the storage service for durable state: rows with revisions, changed by conditional
// transactions and followed through a feed of changes.
package store

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

// Table identifies one of the tables that a daemon follows.
type Table uint8

// The tables. Operators and backend servers write to the first two; the daemons write only to the last.
const (
	Orders  Table = iota // configurations and evacuations, written by operators
	Servers              // backend servers, each written by the server itself
	Control              // daemons, the coordinator and the assignments of keys
)

// Tables is the number of tables.
const Tables = 3

var tableNames = [Tables]string{"orders", "servers", "control"}

// String returns the table's name as it appears in logs.
func (t Table) String() string {
	if int(t) < len(tableNames) {
		return tableNames[t]
	}
	return "unknown"
}

// Rev is a revision: a position in the store's single sequence of transactions.
type Rev uint64

// Row is one row of a table, or the tombstone of a deleted row.
type Row struct {
	Key   string
	Value []byte
	Rev   Rev  // revision of the transaction that wrote or deleted the row
	Gone  bool // the row was deleted
}

// Page holds rows of one table as of the revision Rev.
type Page struct {
	Rows []Row
	Rev  Rev
}

// Expect is the condition that a row has the revision Rev; zero means that the row doesn't exist.
type Expect struct {
	Key string
	Rev Rev
}

// Txn changes rows of the control table atomically.
type Txn struct {
	Expect []Expect
	Put    []Row    // only Key and Value are used
	Drop   []string // keys of rows to delete
}

// Store is one daemon's access to the storage service.
type Store interface {
	// List returns all rows of a table.
	List(c context.Context, t Table) (Page, error)

	// Follow returns the changes after a revision as soon as there are any, or a page without rows after the wait.
	// It fails with ErrHistoryTruncated when the store no longer has those changes.
	Follow(c context.Context, t Table, after Rev, wait time.Duration) (Page, error)

	// Commit applies a transaction. It fails with ErrConflict when a condition doesn't hold, and with ErrNotApplied when the
	// transaction was not applied and never will be. Any other error means that the outcome is unknown.
	Commit(c context.Context, x Txn) (Rev, error)
}

// Errors that callers distinguish.
var (
	ErrHistoryTruncated = trace.NotFound("the store no longer has the changes after the requested revision")
	ErrConflict         = trace.CompareFailed("a condition of the transaction is not met")
	ErrNotApplied       = trace.ConnectionProblem(nil, "the store did not carry out the call")
)
