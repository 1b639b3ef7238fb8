package table

import (
	"slices"
	"strconv"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/gravitational/trace"

	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
)

// Attributes of an item.
const (
	attrDoc     = "doc" // partition key
	attrRow     = "row" // sort key
	attrRev     = "rev"
	attrTxn     = "txn"
	attrBody    = "body"
	attrHistory = "history" // only in the head
)

// headRow is the reserved name of the row that contains the head of a document.
const headRow ident.Row = "head"

// historyLen is the maximum number of transaction ids in a head.
const historyLen = 32

type item = map[string]types.AttributeValue

// head is the content of a document's head row.
type head struct {
	rev     ident.Rev
	history []ident.Txn // history[0] wrote rev, history[1] wrote rev-1, and so on
}

// writer returns the transaction that wrote revision r, if the history includes it.
func (h head) writer(r ident.Rev) (ident.Txn, bool) {
	if r > h.rev || h.rev-r >= ident.Rev(len(h.history)) {
		return "", false
	}
	return h.history[h.rev-r], true
}

// next returns the head after one more transaction.
func (h head) next(t ident.Txn) head {
	l := append([]ident.Txn{t}, h.history...)
	return head{rev: h.rev + 1, history: l[:min(len(l), historyLen)]}
}

func keyOf(doc ident.Doc, row ident.Row) item {
	return item{attrDoc: str(string(doc)), attrRow: str(string(row))}
}

func headItem(doc ident.Doc, h head) item {
	l := make([]types.AttributeValue, len(h.history))
	for i, t := range h.history {
		l[i] = str(string(t))
	}
	m := keyOf(doc, headRow)
	m[attrRev] = num(h.rev)
	m[attrTxn] = str(string(h.history[0]))
	m[attrHistory] = &types.AttributeValueMemberL{Value: l}
	return m
}

func rowItem(doc ident.Doc, r ident.Rev, t ident.Txn, c docs.Change) item {
	m := keyOf(doc, c.Row)
	m[attrRev] = num(r)
	m[attrTxn] = str(string(t))
	m[attrBody] = &types.AttributeValueMemberB{Value: slices.Concat([]byte{}, c.Body)}
	return m
}

// parseHead decodes a head row. An absent row is revision 0.
func parseHead(m item) (head, error) {
	if len(m) == 0 {
		return head{}, nil
	}
	r, err := getRev(m)
	if err != nil {
		return head{}, err
	}
	h := head{rev: r}
	l, ok := m[attrHistory].(*types.AttributeValueMemberL)
	if !ok {
		return head{}, trace.BadParameter("head row has no list %q", attrHistory)
	}
	for _, v := range l.Value {
		t, ok := v.(*types.AttributeValueMemberS)
		if !ok {
			return head{}, trace.BadParameter("head row has an entry in %q that is not a string", attrHistory)
		}
		h.history = append(h.history, ident.Txn(t.Value))
	}
	return h, nil
}

// parseRow decodes a row's name and content.
func parseRow(m item) (ident.Row, docs.Row, error) {
	n, ok := m[attrRow].(*types.AttributeValueMemberS)
	if !ok {
		return "", docs.Row{}, trace.BadParameter("item has no string %q", attrRow)
	}
	r, err := getRev(m)
	if err != nil {
		return "", docs.Row{}, err
	}
	w := docs.Row{Rev: r}
	if b, ok := m[attrBody].(*types.AttributeValueMemberB); ok {
		w.Body = b.Value
	}
	return ident.Row(n.Value), w, nil
}

// revOf returns the revision of an item, or 0 if there is none.
func revOf(m item) (ident.Rev, error) {
	if len(m) == 0 {
		return 0, nil
	}
	return getRev(m)
}

func getRev(m item) (ident.Rev, error) {
	v, ok := m[attrRev].(*types.AttributeValueMemberN)
	if !ok {
		return 0, trace.BadParameter("item has no number %q", attrRev)
	}
	n, err := strconv.ParseUint(v.Value, 10, 64)
	if err != nil {
		return 0, trace.BadParameter("item has revision %q, want an unsigned integer", v.Value)
	}
	return ident.Rev(n), nil
}

func getTxn(m item) ident.Txn {
	if v, ok := m[attrTxn].(*types.AttributeValueMemberS); ok {
		return ident.Txn(v.Value)
	}
	return ""
}

func str(s string) types.AttributeValue {
	return &types.AttributeValueMemberS{Value: s}
}

func num(r ident.Rev) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(uint64(r), 10)}
}
