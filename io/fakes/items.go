package fakes

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// Key attributes of every table.
const (
	partitionKey = "doc"
	sortKey      = "row"
)

// maxTransaction is how many items one transaction may have.
const maxTransaction = 100

type (
	// attrs is an item; each value stays in its wire form, as {"S":"text"}.
	attrs map[string]json.RawMessage

	docKey struct {
		table, doc string
	}

	itemKey struct {
		docKey
		row string
	}
)

func (k docKey) compare(o docKey) int {
	return cmp.Or(strings.Compare(k.table, o.table), strings.Compare(k.doc, o.doc))
}

// text returns a string attribute.
func (a attrs) text(name string) (string, bool) {
	var v struct{ S *string }
	if json.Unmarshal(a[name], &v) != nil || v.S == nil {
		return "", false
	}
	return *v.S, true
}

func (a attrs) key(table string) (itemKey, *apiError) {
	doc, ok := a.text(partitionKey)
	row, ok2 := a.text(sortKey)
	if !ok || !ok2 || doc == "" || row == "" {
		return itemKey{}, invalid("the key attributes %q and %q must be non-empty strings", partitionKey, sortKey)
	}
	return itemKey{docKey{table, doc}, row}, nil
}

// apiError is an error answer of the service.
type apiError struct {
	Type    string   `json:"__type"`
	Message string   `json:"Message"`
	Reasons []reason `json:"CancellationReasons,omitempty"`
}

// reason is why one item of a transaction was refused; code None for those that weren't.
type reason struct {
	Code    string `json:"Code"`
	Message string `json:"Message,omitempty"`
}

const (
	errorPrefix = "com.amazonaws.dynamodb.v20120810#"
	codeNone    = "None"
	codeFailed  = "ConditionalCheckFailed"
)

func invalid(format string, args ...any) *apiError {
	return &apiError{Type: "com.amazon.coral.validate#ValidationException", Message: fmt.Sprintf(format, args...)}
}

func (e *apiError) write(w http.ResponseWriter) {
	b, _ := json.Marshal(e)
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(http.StatusBadRequest)
	_, _ = w.Write(b)
}

func (t *Table) getItem(b []byte) (any, *apiError) {
	var in struct {
		TableName string
		Key       attrs
	}
	if err := json.Unmarshal(b, &in); err != nil {
		return nil, invalid("%v", err)
	}
	k, fail := in.Key.key(in.TableName)
	if fail != nil {
		return nil, fail
	}
	t.rows.Lock()
	defer t.rows.Unlock()
	var out struct {
		Item attrs `json:",omitempty"`
	}
	out.Item = t.docs[k.docKey][k.row]
	return out, nil
}

// names are the stand-ins for attribute names and values in an expression.
type names struct {
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues attrs
}

// attr resolves #NAME.
func (n names) attr(s string) string {
	if x, ok := n.ExpressionAttributeNames[s]; ok {
		return x
	}
	return s
}

var (
	absentForm = regexp.MustCompile(`^attribute_not_exists\s*\(\s*(#?\w+)\s*\)$`)
	equalForm  = regexp.MustCompile(`^(#?\w+)\s*=\s*(:\w+)$`)
)

// holds evaluates a condition on an item; an item that isn't there has no attributes.
func (n names) holds(condition string, a attrs) (bool, *apiError) {
	condition = strings.TrimSpace(condition)
	if condition == "" {
		return true, nil
	}
	if m := absentForm.FindStringSubmatch(condition); m != nil {
		_, there := a[n.attr(m[1])]
		return !there, nil
	}
	if m := equalForm.FindStringSubmatch(condition); m != nil {
		v, ok := n.ExpressionAttributeValues[m[2]]
		if !ok {
			return false, invalid("the value %s is not defined", m[2])
		}
		return bytes.Equal(a[n.attr(m[1])], v), nil
	}
	return false, invalid("condition %q has a form that is not supported", condition)
}

func (t *Table) query(b []byte) (any, *apiError) {
	var in struct {
		names
		TableName              string
		KeyConditionExpression string
		ExclusiveStartKey      attrs
		Limit                  int
	}
	if err := json.Unmarshal(b, &in); err != nil {
		return nil, invalid("%v", err)
	}
	m := equalForm.FindStringSubmatch(strings.TrimSpace(in.KeyConditionExpression))
	if m == nil || in.attr(m[1]) != partitionKey {
		return nil, invalid("key condition %q has a form that is not supported", in.KeyConditionExpression)
	}
	doc, ok := attrs{partitionKey: in.ExpressionAttributeValues[m[2]]}.text(partitionKey)
	if !ok {
		return nil, invalid("the value %s is not a string", m[2])
	}
	after, _ := in.ExclusiveStartKey.text(sortKey)
	limit := t.page
	if in.Limit > 0 {
		limit = min(limit, in.Limit)
	}
	return t.pageOf(docKey{in.TableName, doc}, after, limit), nil
}

// queryPage is one answer to a query.
type queryPage struct {
	Items            []attrs
	Count            int
	ScannedCount     int
	LastEvaluatedKey attrs `json:",omitempty"`
}

func (t *Table) pageOf(doc docKey, after string, limit int) queryPage {
	t.rows.Lock()
	defer t.rows.Unlock()
	rows := t.docs[doc]
	var names []string
	for n := range rows {
		if n > after {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	p := queryPage{Items: []attrs{}}
	for _, n := range names[:min(limit, len(names))] {
		p.Items = append(p.Items, rows[n])
	}
	p.Count, p.ScannedCount = len(p.Items), len(p.Items)
	if len(names) > limit {
		last := p.Items[limit-1]
		p.LastEvaluatedKey = attrs{partitionKey: last[partitionKey], sortKey: last[sortKey]}
	}
	return p
}

// action is one item of a transaction.
type action struct {
	names
	TableName           string
	ConditionExpression string
	Item                attrs // of a put
	Key                 attrs // of a delete or a condition check
}

type transactItem struct {
	Put            *action
	Delete         *action
	ConditionCheck *action
}

func (i transactItem) action() (*action, attrs, *apiError) {
	switch {
	case i.Put != nil:
		return i.Put, i.Put.Item, nil
	case i.Delete != nil:
		return i.Delete, i.Delete.Key, nil
	case i.ConditionCheck != nil:
		return i.ConditionCheck, i.ConditionCheck.Key, nil
	}
	return nil, nil, invalid("an item of the transaction has no supported action")
}

func (t *Table) transact(b []byte) (any, *apiError) {
	var in struct{ TransactItems []transactItem }
	if err := json.Unmarshal(b, &in); err != nil {
		return nil, invalid("%v", err)
	}
	if n := len(in.TransactItems); n < 1 || n > maxTransaction {
		return nil, invalid("a transaction of %d items; 1 to %d are possible", n, maxTransaction)
	}
	t.rows.Lock()
	defer t.rows.Unlock()
	keys, fail := t.checkAll(in.TransactItems)
	if fail != nil {
		return nil, fail
	}
	for i, x := range in.TransactItems {
		switch {
		case x.Put != nil:
			t.put(keys[i], x.Put.Item)
		case x.Delete != nil:
			delete(t.docs[keys[i].docKey], keys[i].row)
		}
	}
	return struct{}{}, nil
}

// put needs t.rows.
func (t *Table) put(k itemKey, a attrs) {
	if t.docs[k.docKey] == nil {
		t.docs[k.docKey] = map[string]attrs{}
	}
	t.docs[k.docKey][k.row] = a
}

// checkAll evaluates every condition and returns the items' keys; it needs t.rows.
func (t *Table) checkAll(l []transactItem) ([]itemKey, *apiError) {
	keys := make([]itemKey, len(l))
	reasons := make([]reason, len(l))
	codes := make([]string, len(l))
	seen := map[itemKey]bool{}
	refused := false
	for i, x := range l {
		a, key, fail := x.action()
		if fail != nil {
			return nil, fail
		}
		k, fail := key.key(a.TableName)
		if fail != nil {
			return nil, fail
		}
		if seen[k] {
			return nil, invalid("the transaction has two actions on one item")
		}
		ok, fail := a.holds(a.ConditionExpression, t.docs[k.docKey][k.row])
		if fail != nil {
			return nil, fail
		}
		seen[k], keys[i], reasons[i] = true, k, reason{Code: codeNone}
		if !ok {
			refused = true
			reasons[i] = reason{Code: codeFailed, Message: "The conditional request failed"}
		}
		codes[i] = reasons[i].Code
	}
	if !refused {
		return keys, nil
	}
	return nil, &apiError{
		Type: errorPrefix + "TransactionCanceledException",
		Message: "Transaction cancelled, please refer cancellation reasons for specific reasons [" +
			strings.Join(codes, ", ") + "]",
		Reasons: reasons,
	}
}
