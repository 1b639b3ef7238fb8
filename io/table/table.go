// Package table keeps documents in the platform's transactional table service, spoken to by the DynamoDB API.
//
// An item is one row of one document. The head, row "head", holds the document's revision and the ids of its
// last transactions, newest first. Each commit is one transaction that moves the head on by one revision, on the
// condition that it is still where the committer saw it, and writes the changed rows.
//
// The history lives in the head, not in a row for each transaction: the head is written anyway, nothing has to be
// cleaned up later, and the size of a commit isn't reduced. It decides lost replies for the next 32 transactions;
// past that the txn attribute of the changed rows decides, and when those are overwritten too the outcome is
// reported as unknown rather than guessed.
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
	// MaxChanges is how many rows one commit may change: the API takes 100 items, and the head is one of them.
	MaxChanges = 99

	defaultTimeout = 2 * time.Second
	loadTries      = 5
	idleTimeout    = 30 * time.Second
	maxIdle        = 16
)

// Options holds what a Store depends on.
type Options struct {
	Endpoint  string // base URL of the service
	Region    string // for the signature
	Table     string // name of the table
	AccessKey string
	SecretKey string
	Timeout   time.Duration // of one try; 2 s when 0
	Log       *log.Logger   // the default logger when nil
}

// Store reads and commits documents. It is safe for concurrent use.
type Store struct {
	opts   Options
	client *dynamodb.Client
	conns  *http.Transport

	mu    sync.Mutex
	heads map[ident.Doc]head     // newest seen; saves the read before a commit
	lost  map[ident.Txn]struct{} // transactions of unknown outcome
}

// New returns a Store; it opens no connection yet.
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
		HTTPClient:   &http.Client{Transport: wholeBody{t}, Timeout: o.Timeout},
		// A hidden second try would make "certainly not written" a guess, and multiply the load on a
		// service that is already slow. Tries are counted here and by the caller only.
		Retryer: aws.NopRetryer{},
	})
	return &Store{opts: o, client: c, conns: t, heads: map[ident.Doc]head{}, lost: map[ident.Txn]struct{}{}}
}

// Close closes idle connections.
func (s *Store) Close() {
	s.conns.CloseIdleConnections()
}

// Head returns the revision of the document, 0 when there is none.
func (s *Store) Head(ctx context.Context, doc ident.Doc) (ident.Rev, error) {
	h, err := s.readHead(ctx, doc)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	return h.rev, nil
}

// Load returns the whole document at one revision.
//
// A query of several pages may see rows of a transaction committed between two of them. The copy would claim a
// revision that it holds half of; so the head is read before and after, and must not have moved.
func (s *Store) Load(ctx context.Context, doc ident.Doc) (*docs.Doc, error) {
	h, err := s.readHead(ctx, doc)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for range loadTries {
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
	return nil, trace.Wrap(&UnavailableError{Doc: doc, Err: errChanging})
}

func (s *Store) remember(doc ident.Doc, h head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.rev >= s.heads[doc].rev {
		s.heads[doc] = h
	}
}

func (s *Store) remembered(doc ident.Doc) (head, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.heads[doc]
	return h, ok
}

// unsettled reports whether an earlier call ended with an unknown outcome for the transaction.
// Without this memory a second call that can't reach the service would call the transaction certainly not written.
func (s *Store) unsettled(t ident.Txn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.lost[t]
	return ok
}

func (s *Store) setUnsettled(t ident.Txn, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lost {
		s.lost[t] = struct{}{}
	} else {
		delete(s.lost, t)
	}
}
