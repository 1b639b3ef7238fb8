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

// commitTries bounds how often one call of Commit sends its transaction, the first time included.
const commitTries = 3

// Commit writes the changes as revision from+1 in one transaction and returns that revision.
//
// The id must be unique to these changes. The errors are ConflictError, UnavailableError, UnknownError and
// TooManyError; after an UnknownError the same call may be made again, and settles it.
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
		return trace.BadParameter("a transaction needs a document and an id")
	}
	seen := map[ident.Row]bool{}
	for _, x := range changes {
		if x.Row == "" || x.Row == headRow || seen[x.Row] {
			return trace.BadParameter("transaction %s changes row %q: empty, reserved or twice", txn, x.Row)
		}
		seen[x.Row] = true
	}
	return nil
}

// commit is one call of Commit.
type commit struct {
	store   *Store
	doc     ident.Doc
	from    ident.Rev
	txn     ident.Txn
	changes []docs.Change
	pending bool // a try was sent, perhaps by an earlier call, that may have been written or may yet be
}

// sent is what is certain after one try.
type sent int

const (
	sentWritten  sent = iota
	sentRefused       // the head was not at the revision
	sentRejected      // not written, and never will be, for another reason
	sentLost          // perhaps written, perhaps later
)

// run sends the transaction until its outcome is certain.
//
// A reply may be lost after the write took effect, or the write may still be under way when its sender gives up,
// and land later. Reading the head tells the first from a conflict, but a head that hasn't moved proves nothing.
// Sending the very same transaction again does: whichever copy lands first moves the head, so the other fails its
// condition for good. That is enough because no condition refers to anything but the head.
func (c *commit) run(ctx context.Context) (ident.Rev, error) {
	h, err := c.start(ctx)
	for range commitTries {
		if err != nil {
			return 0, c.gaveUp(err)
		}
		if h.rev != c.from {
			return c.decide(ctx, h)
		}
		var o sent
		o, err = c.send(ctx, h.next(c.txn))
		switch o {
		case sentWritten:
			return c.from + 1, nil
		case sentRejected:
			return 0, c.gaveUp(err)
		case sentRefused:
		case sentLost:
			c.pending = true
		}
		h, err = c.store.readHead(ctx, c.doc)
	}
	if err == nil && h.rev != c.from {
		return c.decide(ctx, h)
	}
	return 0, c.gaveUp(errors.Join(err, errUnsettled))
}

var errUnsettled = errors.New("no try had a certain outcome")

// start returns the head to build on; one that was seen at the revision before is as good as a new read.
func (c *commit) start(ctx context.Context) (head, error) {
	if h, ok := c.store.remembered(c.doc); ok && h.rev == c.from {
		return h, nil
	}
	return c.store.readHead(ctx, c.doc)
}

// gaveUp tells "certainly not written" from "perhaps written".
func (c *commit) gaveUp(err error) error {
	if c.pending {
		return &UnknownError{Doc: c.doc, From: c.from, Txn: c.txn, Err: err}
	}
	if u := (*UnavailableError)(nil); errors.As(err, &u) {
		return u
	}
	return &UnavailableError{Doc: c.doc, Err: err}
}

// decide tells whose transaction wrote revision from+1, once the head is not at from any more.
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
		if r, err := getRev(m); err == nil && r == c.from+1 {
			return 0, conflict
		}
	}
	return 0, c.unknown(errForgotten)
}

var errForgotten = errors.New("the document has moved on past its history")

func (c *commit) unknown(err error) error {
	return &UnknownError{Doc: c.doc, From: c.from, Txn: c.txn, Err: err}
}

// send makes one try; next is the head that it would write.
func (c *commit) send(ctx context.Context, next head) (sent, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	_, err := c.store.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: c.items(next)})
	if err == nil {
		c.store.remember(c.doc, next)
		return sentWritten, nil
	}
	o := classify(err)
	if !connected.Load() {
		o = sentRejected // without a connection not a byte of the request was sent
	}
	if o != sentRefused {
		c.store.failed(c.doc, "commit", err)
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

// classify tells what an error of a try proves; whatever proves nothing is lost.
func classify(err error) sent {
	if x := (*types.TransactionCanceledException)(nil); errors.As(err, &x) {
		refused := slices.ContainsFunc(x.CancellationReasons, func(r types.CancellationReason) bool {
			return aws.ToString(r.Code) == "ConditionalCheckFailed"
		})
		if refused {
			return sentRefused
		}
		return sentRejected
	}
	// The service answers 400 to what it didn't carry out, throttling included. Any other status may come from
	// something in between, which can't know what became of the request.
	if x := (*smithyhttp.ResponseError)(nil); errors.As(err, &x) && x.HTTPStatusCode() == http.StatusBadRequest {
		return sentRejected
	}
	return sentLost
}
