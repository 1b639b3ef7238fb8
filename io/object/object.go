// Package object keeps content-addressed snapshots in the platform's object store, spoken to by the S3 API.
package object

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/gravitational/trace"
)

// Key names an object; its last segment is the SHA-256 of the content.
type Key string

// KeyOf returns the key of the content below the prefix.
func KeyOf(prefix string, body []byte) Key {
	h := sha256.Sum256(body)
	return Key(path.Join(prefix, hex.EncodeToString(h[:])))
}

// matches reports whether the body is what the key names.
func (k Key) matches(body []byte) bool {
	return k == KeyOf(path.Dir(string(k)), body)
}

// NotFoundError says that there is no object of the key.
type NotFoundError struct {
	Key Key
}

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no object %s", e.Key) }

// CorruptError says that a body is not the content that its key names.
type CorruptError struct {
	Key Key
}

// Error implements error.
func (e *CorruptError) Error() string { return fmt.Sprintf("body does not match object key %s", e.Key) }

// UnavailableError says that the object store can't be used now.
type UnavailableError struct {
	Key Key
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("object store unavailable for %s: %v", e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

const (
	defaultTimeout = 10 * time.Second
	idleTimeout    = 30 * time.Second
)

// Options holds what a Store depends on.
type Options struct {
	Endpoint  string // base URL of the service
	Region    string // for the signature
	Bucket    string
	AccessKey string
	SecretKey string
	Timeout   time.Duration // of one try; 10 s when 0
}

// Store puts and gets objects. It is safe for concurrent use.
type Store struct {
	opts   Options
	client *s3.Client
	conns  *http.Transport
}

// New returns a Store; it opens no connection yet.
func New(o Options) *Store {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	t := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: o.Timeout, KeepAlive: 5 * time.Second}).DialContext,
		IdleConnTimeout: idleTimeout,
	}
	c := s3.New(s3.Options{
		BaseEndpoint: aws.String(o.Endpoint),
		Region:       o.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(o.AccessKey, o.SecretKey, ""),
		HTTPClient:   &http.Client{Transport: t},
		UsePathStyle: true,
		Retryer:      aws.NopRetryer{}, // the caller decides about retries
		// The key itself proves the content; the library's trailing checksums aren't understood everywhere.
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})
	return &Store{opts: o, client: c, conns: t}
}

// Close closes idle connections.
func (s *Store) Close() {
	s.conns.CloseIdleConnections()
}

// Put stores the body under its key. It is idempotent.
func (s *Store) Put(ctx context.Context, key Key, body []byte) error {
	if !key.matches(body) {
		return trace.Wrap(&CorruptError{Key: key})
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.Timeout)
	defer cancel()
	_, err := s.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket: aws.String(s.opts.Bucket),
		Key:    aws.String(string(key)),
		Body:   bytes.NewReader(body),
	})
	if err != nil {
		return s.failed(key, err)
	}
	return nil
}

// Get returns the content that the key names.
func (s *Store) Get(ctx context.Context, key Key) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.Timeout)
	defer cancel()
	o, err := s.client.GetObject(ctx, &s3.GetObjectInput{
		Bucket: aws.String(s.opts.Bucket),
		Key:    aws.String(string(key)),
	})
	if x := (*types.NoSuchKey)(nil); errors.As(err, &x) {
		return nil, trace.Wrap(&NotFoundError{Key: key})
	}
	if err != nil {
		return nil, s.failed(key, err)
	}
	defer o.Body.Close()
	b, err := io.ReadAll(o.Body)
	if err != nil {
		return nil, s.failed(key, err)
	}
	// A body cut short in a way that the transport didn't see would be taken for a whole snapshot.
	if !key.matches(b) {
		return nil, trace.Wrap(&CorruptError{Key: key})
	}
	return b, nil
}

// failed drops idle connections, since they may be as dead as the one that was used.
func (s *Store) failed(key Key, err error) error {
	s.conns.CloseIdleConnections()
	return trace.Wrap(&UnavailableError{Key: key, Err: err})
}
