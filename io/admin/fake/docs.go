// Package fake is an in-memory stand-in for the daemon behind an admin page, for tests of the page and its clients.
package fake

import (
	"context"
	"sync"
	"time"

	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
	"heatherrouter/io/admin"
)

// Fault is what goes wrong with a commit.
type Fault int

// The faults.
const (
	FaultNone      Fault = iota
	FaultOutage          // nothing is written
	FaultLostReply       // written, but the reply is lost
)

// Docs is an in-memory document "config" with the rules of the table.
type Docs struct {
	mu      sync.Mutex
	doc     *docs.Doc
	txns    map[ident.Txn]ident.Rev
	faults  []Fault
	before  func()
	commits int
}

// NewDocs returns an empty document.
func NewDocs() *Docs {
	return &Docs{doc: docs.New(ident.ConfigDoc), txns: map[ident.Txn]ident.Rev{}}
}

// Fail makes the next commits fail, one fault each.
func (d *Docs) Fail(l ...Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = append(d.faults, l...)
}

// BeforeCommit calls f once, right before the next commit.
func (d *Docs) BeforeCommit(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.before = f
}

// Commits returns how many transactions were written.
func (d *Docs) Commits() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.commits
}

// Get returns the newest copy.
func (d *Docs) Get(ident.Doc) *docs.Doc {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.doc
}

// Commit makes the changes if the document is at revision from.
func (d *Docs) Commit(_ context.Context, _ ident.Doc, from ident.Rev, txn ident.Txn, l []docs.Change) (ident.Rev, error) {
	d.mu.Lock()
	f := d.before
	d.before = nil
	d.mu.Unlock()
	if f != nil {
		f()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	fault := d.nextFault()
	if fault == FaultOutage {
		return 0, &admin.UnavailableError{RetryAfter: 2 * time.Second, Cause: "the table can't be reached"}
	}
	r, err := d.write(from, txn, l)
	if err == nil && fault == FaultLostReply {
		return 0, &admin.UnknownError{Txn: txn, Cause: "no reply"}
	}
	return r, err
}

func (d *Docs) nextFault() Fault {
	if len(d.faults) == 0 {
		return FaultNone
	}
	f := d.faults[0]
	d.faults = d.faults[1:]
	return f
}

func (d *Docs) write(from ident.Rev, txn ident.Txn, l []docs.Change) (ident.Rev, error) {
	if r, ok := d.txns[txn]; ok && r == from+1 {
		return r, nil
	}
	if from != d.doc.Rev {
		return 0, &admin.ConflictError{Base: from, Current: d.doc.Rev}
	}
	x := docs.Delta{Name: d.doc.Name, From: from, Rev: from + 1, Rows: map[ident.Row]docs.Row{}}
	for _, c := range l {
		x.Rows[c.Row] = docs.Row{Rev: x.Rev, Body: c.Body}
	}
	d.doc, _ = d.doc.Apply(x)
	d.txns[txn] = x.Rev
	d.commits++
	return x.Rev, nil
}
