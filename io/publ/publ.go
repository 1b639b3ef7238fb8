// Package publ puts service files and drains into force: it checks them, finds what they change and commits
// that as one transaction on the document "config".
package publ

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"heatherrouter/core/config"
	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
	"heatherrouter/io/admin"
)

const (
	// MaxChanges bounds the rows of one transaction; the table takes a hundred items, the document's own
	// and the transaction id's included.
	MaxChanges = 80

	// MaxBytes bounds the bodies of one transaction, of which the table takes 4 MB.
	MaxBytes = 3 << 20

	// catchUp is how long a call waits for the daemon's copy to reach the revision that the operator saw
	// at another daemon; copies follow within seconds.
	catchUp = 5 * time.Second

	pollEvery = 20 * time.Millisecond

	// minTxn is the least length of a transaction id: short ones could be given twice, and the second change
	// would then be answered with the outcome of the first, without taking effect.
	minTxn = 8

	maxBy = 128
)

// Docs is where documents are read and committed.
type Docs interface {
	// Get returns the newest copy that the daemon holds; it is not to be changed.
	Get(ident.Doc) *docs.Doc

	// Commit makes the changes in one table transaction if the document is at revision from, and returns
	// the new revision. Where the same transaction has been committed on the same revision before, it changes
	// nothing and returns the revision of then; this is how a lost reply is settled.
	//
	// Its errors are admin.ConflictError, admin.UnavailableError when certainly nothing was changed, and
	// admin.UnknownError when the transaction may have taken effect. Any other error counts as the last.
	Commit(ctx context.Context, doc ident.Doc, from ident.Rev, txn ident.Txn, l []docs.Change) (ident.Rev, error)
}

// Hosts knows the daemons and their failure domains.
type Hosts interface {
	HasDaemon(ident.Daemon) bool
	HasDomain(ident.Domain) bool
}

// Publisher puts changes of operators into force. Its methods may be called at once from several goroutines;
// the table decides between them.
type Publisher struct {
	docs  Docs
	hosts Hosts
	now   func() time.Time
}

// New returns a publisher; now is the wall clock.
func New(d Docs, h Hosts, now func() time.Time) *Publisher {
	return &Publisher{docs: d, hosts: h, now: now}
}

// commit makes sure that every error of Docs tells what is certain.
func (p *Publisher) commit(ctx context.Context, from ident.Rev, txn ident.Txn, l []docs.Change) (ident.Rev, error) {
	r, err := p.docs.Commit(ctx, ident.ConfigDoc, from, txn, l)
	if err == nil {
		return r, nil
	}
	if isCertain(err) {
		return 0, trace.Wrap(err)
	}
	return 0, trace.Wrap(&admin.UnknownError{Txn: txn, Cause: trace.UserMessage(err)})
}

func isCertain(err error) bool {
	_, conflict := errors.AsType[*admin.ConflictError](err)
	_, outage := errors.AsType[*admin.UnavailableError](err)
	return conflict || outage
}

// copyAt returns the daemon's copy once it has reached the revision.
//
// A daemon that hasn't yet heard of the revision would check the change against older services and then
// report a conflict with a revision that the operator has already seen.
func (p *Publisher) copyAt(ctx context.Context, r ident.Rev) (*docs.Doc, error) {
	ctx, cancel := context.WithTimeout(ctx, catchUp)
	defer cancel()
	t := time.NewTicker(pollEvery)
	defer t.Stop()
	for {
		d := p.docs.Get(ident.ConfigDoc)
		if d != nil && d.Rev >= r {
			return d, nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil, trace.Wrap(&admin.UnavailableError{
				RetryAfter: catchUp, Cause: "this daemon does not hold the revision that the change builds on",
			})
		}
	}
}

func checkOrigin(txn ident.Txn, by string) error {
	if len(txn) < minTxn || !config.ValidName(string(txn)) {
		return trace.BadParameter("txn must be a unique id of at least %d lower-case letters and digits", minTxn)
	}
	if by == "" || len(by) > maxBy {
		return trace.BadParameter("by must name the operator in at most %d bytes", maxBy)
	}
	return nil
}
