package table

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync/atomic"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	smithyhttp "github.com/aws/smithy-go/transport/http"
	"github.com/gravitational/trace"

	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
)

// maxCommitAttempts limits how often one call of Commit sends its transaction, including the first attempt.
const maxCommitAttempts = 3

// Commit writes the changes as revision from+1 in one transaction and returns that revision.
//
// The id must be unique to these changes. The errors are ConflictError, UnavailableError, UnknownError and
// TooManyError. After an UnknownError, repeating the call with the same arguments determines the outcome.
func (s *Store) Commit(ctx context.Context, doc ident.Doc, from ident.Rev, txn ident.Txn, changes []docs.Change) (ident.Rev, error) {
	if err := validate(doc, txn, changes); err != nil {
		return 0, trace.Wrap(err)
	}
	c := &commit{store: s, doc: doc, from: from, txn: txn, changes: changes, pending: s.unsettled(txn)}
	r, err := c.run(ctx)
	unknown := (*UnknownError)(nil)
	s.setUnsettled(txn, errors.As(err, &unknown))
	return r, trace.Wrap(err)
}

func validate(doc ident.Doc, txn ident.Txn, changes []docs.Change) error {
	if len(changes) > MaxChanges {
		return &TooManyError{Doc: doc, Changes: len(changes)}
	}
	if doc == "" || txn == "" {
		return trace.BadParameter("transaction requires a document and an id")
	}
	seen := map[ident.Row]bool{}
	for _, x := range changes {
		if x.Row == "" || x.Row == headRow || seen[x.Row] {
			return trace.BadParameter("transaction %s changes row %q: name is empty, reserved or repeated", txn, x.Row)
		}
		seen[x.Row] = true
	}
	return nil
}

// commit is the state of one call of Commit.
type commit struct {
	store   *Store
	doc     ident.Doc
	from    ident.Rev
	txn     ident.Txn
	changes []docs.Change
	pending bool // an attempt of this or an earlier call may have been written or may still be
}

// attemptResult is what is known after one attempt.
type attemptResult int

const (
	resultWritten         attemptResult = iota
	resultConditionFailed               // the head was not at the expected revision
	resultRejected                      // not written and never will be, for another reason
	resultUnknown                       // may have been written or may still be
)

// run sends the transaction until its outcome is certain or the attempts are used up.
//
// A response may be lost after the write took effect, or the write may take effect after the sender timed out.
// Reading the head distinguishes the first case from a conflict, but an unchanged head proves nothing. Sending the
// identical transaction again does: the first copy to take effect advances the head, and the condition of every
// other copy then fails permanently. This suffices because conditions refer only to the head.
func (c *commit) run(ctx context.Context) (ident.Rev, error) {
	h, err := c.start(ctx)
	for range maxCommitAttempts {
		if err != nil {
			return 0, c.failure(err)
		}
		if h.rev != c.from {
			return c.decide(ctx, h)
		}
		var o attemptResult
		o, err = c.send(ctx, h.next(c.txn))
		switch o {
		case resultWritten:
			return c.from + 1, nil
		case resultRejected:
			return 0, c.failure(err)
		case resultConditionFailed:
		case resultUnknown:
			c.pending = true
		}
		h, err = c.store.readHead(ctx, c.doc)
	}
	if err == nil && h.rev != c.from {
		return c.decide(ctx, h)
	}
	return 0, c.failure(errors.Join(err, errNoOutcome))
}

var errNoOutcome = errors.New("no attempt had a certain outcome")

// start returns the head to write after. A cached head at revision from needs no new read.
func (c *commit) start(ctx context.Context) (head, error) {
	if h, ok := c.store.cachedHead(c.doc); ok && h.rev == c.from {
		return h, nil
	}
	return c.store.readHead(ctx, c.doc)
}

// failure returns an UnknownError if the transaction may have been written, otherwise an UnavailableError.
func (c *commit) failure(err error) error {
	if c.pending {
		return &UnknownError{Doc: c.doc, From: c.from, Txn: c.txn, Err: err}
	}
	if u := (*UnavailableError)(nil); errors.As(err, &u) {
		return u
	}
	return &UnavailableError{Doc: c.doc, Err: err}
}

// decide determines which transaction wrote revision from+1 when the head is no longer at from.
func (c *commit) decide(ctx context.Context, h head) (ident.Rev, error) {
	conflict := &ConflictError{Doc: c.doc, From: c.from, Found: h.rev}
	if h.rev < c.from {
		return 0, conflict
	}
	if t, ok := h.writer(c.from + 1); ok {
		if t == c.txn {
			return c.from + 1, nil
		}
		return 0, conflict
	}
	for _, x := range c.changes {
		m, err := c.store.getItem(ctx, c.doc, x.Row)
		if err != nil {
			return 0, c.unknown(err)
		}
		if getTxn(m) == c.txn {
			return c.from + 1, nil
		}
		if r, err := revOf(m); err == nil && r <= c.from+1 {
			return 0, conflict // no row ever goes back or away, so this transaction has not written it
		}
	}
	return 0, c.unknown(errHistoryTruncated)
}

var errHistoryTruncated = errors.New("revision is older than the history of the document")

func (c *commit) unknown(err error) error {
	return &UnknownError{Doc: c.doc, From: c.from, Txn: c.txn, Err: err}
}

// send makes one attempt to write the changes and the new head next.
func (c *commit) send(ctx context.Context, next head) (attemptResult, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	_, err := c.store.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: c.items(next)})
	if err == nil {
		c.store.cacheHead(c.doc, next)
		return resultWritten, nil
	}
	o := classify(err)
	if !connected.Load() {
		o = resultRejected // without a connection no byte of the request was sent
	}
	if o != resultConditionFailed {
		c.store.requestFailed(c.doc, "commit", err)
	}
	return o, err
}

func (c *commit) items(next head) []types.TransactWriteItem {
	put := &types.Put{TableName: aws.String(c.store.opts.Table), Item: headItem(c.doc, next)}
	put.ExpressionAttributeNames = map[string]string{"#rev": attrRev}
	put.ConditionExpression = aws.String("attribute_not_exists(#rev)")
	if c.from > 0 {
		put.ConditionExpression = aws.String("#rev = :from")
		put.ExpressionAttributeValues = item{":from": num(c.from)}
	}
	l := []types.TransactWriteItem{{Put: put}}
	for _, x := range c.changes {
		l = append(l, types.TransactWriteItem{Put: &types.Put{
			TableName: aws.String(c.store.opts.Table),
			Item:      rowItem(c.doc, next.rev, c.txn, x),
		}})
	}
	return l
}

// classify returns what the error of an attempt proves, or resultUnknown if it proves nothing.
func classify(err error) attemptResult {
	if x := (*types.TransactionCanceledException)(nil); errors.As(err, &x) {
		failed := slices.ContainsFunc(x.CancellationReasons, func(r types.CancellationReason) bool {
			return aws.ToString(r.Code) == "ConditionalCheckFailed"
		})
		if failed {
			return resultConditionFailed
		}
		return resultRejected
	}
	// The service responds with 400 to requests that it did not execute, including throttled ones. Any other status
	// may come from an intermediary, which can't know whether the request was executed.
	if x := (*smithyhttp.ResponseError)(nil); errors.As(err, &x) && x.HTTPStatusCode() == http.StatusBadRequest {
		return resultRejected
	}
	return resultUnknown
}
