package table

import (
	"context"
	"errors"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"

	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
)

var errChanging = errors.New("the document changes faster than it can be read")

// failed makes the tries that follow use new connections.
//
// A connection that something in between has forgotten delivers nothing for good. The transport closes the one
// that just timed out, but others in its pool may be as dead, and each would cost one more timeout.
func (s *Store) failed(doc ident.Doc, op string, err error) {
	s.conns.CloseIdleConnections()
	s.opts.Log.Warn().Str("doc", string(doc)).Str("op", op).Err(err).Msg("table service try failed")
}

func (s *Store) getItem(ctx context.Context, doc ident.Doc, row ident.Row) (item, error) {
	o, err := s.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(s.opts.Table),
		Key:            keyOf(doc, row),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		s.failed(doc, "get", err)
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
	s.remember(doc, h)
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
		s.failed(doc, "query", err)
		return nil, &UnavailableError{Doc: doc, Err: err}
	}
	return o, nil
}
