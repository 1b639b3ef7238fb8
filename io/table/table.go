// Package table stores documents in the platform's transactional table service through the DynamoDB API.
//
// An item is one row of one document. The head, row "head", contains the document's revision and the ids of its
// last transactions, newest first. Each commit is one transaction that writes the changed rows and advances the head
// by one revision, on the condition that the head is still at the revision that the committer read.
//
// The history is in the head, not in a row for each transaction: the head is written anyway, no cleanup is needed, and
// a commit has room for as many changes. It determines the outcome after a lost response for the next 32 transactions.
// After that the txn attribute of the changed rows determines it. If these are overwritten too, the outcome is
// reported as unknown.
package table

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/gravitational/trace"
	"github.com/phuslu/log"

	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
)

const (
	// MaxChanges is the maximum number of rows in one commit: the API accepts 100 items, and the head is one of them.
	MaxChanges = 99

	defaultTimeout = 2 * time.Second
	loadAttempts   = 5
	idleTimeout    = 30 * time.Second
	maxIdle        = 16
)

// Options configures a Store.
type Options struct {
	Endpoint  string // base URL of the service
	Region    string // for request signatures
	Table     string // name of the table
	AccessKey string
	SecretKey string
	Timeout   time.Duration // of one request; 0 means 2 s
	Log       *log.Logger   // nil means the default logger
}

// Store reads and commits documents. It is safe for concurrent use.
type Store struct {
	opts   Options
	client *dynamodb.Client
	conns  *http.Transport

	mu            sync.Mutex
	heads         map[ident.Doc]head     // newest known head of each document; saves the read before a commit
	unsettledTxns map[ident.Txn]struct{} // transactions of unknown outcome
}

// New returns a Store without opening a connection.
func New(o Options) *Store {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.Log == nil {
		o.Log = &log.DefaultLogger
	}
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: o.Timeout, KeepAlive: 5 * time.Second}).DialContext,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
	}
	c := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(o.Endpoint),
		Region:       o.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(o.AccessKey, o.SecretKey, ""),
		HTTPClient:   &http.Client{Transport: bufferedBody{t}, Timeout: o.Timeout},
		// A retry inside the SDK could leave an earlier attempt in flight when Commit reports that nothing was
		// written, and would multiply the load on a slow service. Only this package and its callers retry.
		Retryer: aws.NopRetryer{},
	})
	return &Store{opts: o, client: c, conns: t, heads: map[ident.Doc]head{}, unsettledTxns: map[ident.Txn]struct{}{}}
}

// Close closes idle connections.
func (s *Store) Close() {
	s.conns.CloseIdleConnections()
}

// Head returns the revision of the document, or 0 if it does not exist.
func (s *Store) Head(ctx context.Context, doc ident.Doc) (ident.Rev, error) {
	h, err := s.readHead(ctx, doc)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	return h.rev, nil
}

// Load returns the whole document at one revision.
//
// A query of several pages may include only some rows of a transaction that is committed between two pages. Load
// therefore reads the head before and after the query and tries again if the revision has changed.
func (s *Store) Load(ctx context.Context, doc ident.Doc) (*docs.Doc, error) {
	h, err := s.readHead(ctx, doc)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for range loadAttempts {
		d, err := s.readRows(ctx, doc)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		after, err := s.readHead(ctx, doc)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if after.rev == h.rev {
			d.Rev = h.rev
			return d, nil
		}
		h = after
	}
	return nil, trace.Wrap(&UnavailableError{Doc: doc, Err: errConcurrentWrites})
}

func (s *Store) cacheHead(doc ident.Doc, h head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.rev >= s.heads[doc].rev {
		s.heads[doc] = h
	}
}

func (s *Store) cachedHead(doc ident.Doc) (head, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.heads[doc]
	return h, ok
}

// unsettled reports whether an earlier call ended with an unknown outcome for the transaction.
// Without this record, a second call that can't connect would wrongly report that nothing was written.
func (s *Store) unsettled(t ident.Txn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.unsettledTxns[t]
	return ok
}

func (s *Store) setUnsettled(t ident.Txn, unsettled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if unsettled {
		s.unsettledTxns[t] = struct{}{}
	} else {
		delete(s.unsettledTxns, t)
	}
}
