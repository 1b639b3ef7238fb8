package table

import (
	"context"
	"errors"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"

	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
)

var errConcurrentWrites = errors.New("document changed during every attempt to load it")

// requestFailed logs a failed request and closes the idle connections, so that later requests use new ones.
//
// An intermediary may silently drop the state of open connections. The transport closes only the connection that
// timed out; each other broken one in its pool would cost one more timeout.
func (s *Store) requestFailed(doc ident.Doc, op string, err error) {
	s.conns.CloseIdleConnections()
	s.opts.Log.Warn().Str("doc", string(doc)).Str("op", op).Err(err).Msg("table service request failed")
}

func (s *Store) getItem(ctx context.Context, doc ident.Doc, row ident.Row) (item, error) {
	o, err := s.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(s.opts.Table),
		Key:            keyOf(doc, row),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		s.requestFailed(doc, "get", err)
		return nil, &UnavailableError{Doc: doc, Err: err}
	}
	return o.Item, nil
}

func (s *Store) readHead(ctx context.Context, doc ident.Doc) (head, error) {
	m, err := s.getItem(ctx, doc, headRow)
	if err != nil {
		return head{}, err
	}
	h, err := parseHead(m)
	if err != nil {
		return head{}, err
	}
	s.cacheHead(doc, h)
	return h, nil
}

func (s *Store) readRows(ctx context.Context, doc ident.Doc) (*docs.Doc, error) {
	d := docs.New(doc)
	var start item
	for {
		o, err := s.query(ctx, doc, start)
		if err != nil {
			return nil, err
		}
		for _, m := range o.Items {
			n, w, err := parseRow(m)
			if err != nil {
				return nil, err
			}
			if n != headRow {
				d.Rows[n] = w
			}
		}
		if len(o.LastEvaluatedKey) == 0 {
			return d, nil
		}
		start = o.LastEvaluatedKey
	}
}

func (s *Store) query(ctx context.Context, doc ident.Doc, start item) (*dynamodb.QueryOutput, error) {
	o, err := s.client.Query(ctx, &dynamodb.QueryInput{
		TableName:                 aws.String(s.opts.Table),
		KeyConditionExpression:    aws.String("#doc = :doc"),
		ExpressionAttributeNames:  map[string]string{"#doc": attrDoc},
		ExpressionAttributeValues: item{":doc": str(string(doc))},
		ConsistentRead:            aws.Bool(true),
		ExclusiveStartKey:         start,
	})
	if err != nil {
		s.requestFailed(doc, "query", err)
		return nil, &UnavailableError{Doc: doc, Err: err}
	}
	return o, nil
}
