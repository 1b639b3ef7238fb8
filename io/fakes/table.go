package fakes

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// TableOptions sets up a table service stand-in.
type TableOptions struct {
	Addr        string // of the service; AnyPort when empty
	ControlAddr string // of the control page; AnyPort when empty
	PageRows    int    // most rows of one answer to a query; 100 when 0
}

// Table is a stand-in for the table service. It speaks JSON 1.0 of the DynamoDB API for GetItem, Query by partition
// key, and TransactWriteItems with Put, Delete and ConditionCheck. Any table name exists. The condition forms are
// attribute_not_exists(NAME) and NAME = :VALUE. ClientRequestToken is ignored, so that nothing but the conditions
// makes a transaction idempotent.
//
// Control page: GET and POST /control (Faults), GET /rows (every item).
type Table struct {
	faulty
	page int

	rows sync.Mutex
	docs map[docKey]map[string]attrs // by document, then by row
}

const defaultPageRows = 100

// NewTable starts a table service stand-in.
func NewTable(o TableOptions) (*Table, error) {
	t := &Table{page: o.PageRows, docs: map[docKey]map[string]attrs{}}
	if t.page <= 0 {
		t.page = defaultPageRows
	}
	pages := http.NewServeMux()
	pages.HandleFunc("GET /rows", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, t.Dump()) })
	if err := t.listen(o.Addr, t.serve, o.ControlAddr, pages); err != nil {
		return nil, err
	}
	return t, nil
}

// Dump returns every item in the order of its keys.
func (t *Table) Dump() []map[string]any {
	t.rows.Lock()
	defer t.rows.Unlock()
	l := []map[string]any{}
	for _, d := range slices.SortedFunc(maps.Keys(t.docs), docKey.compare) {
		for _, r := range slices.Sorted(maps.Keys(t.docs[d])) {
			m := map[string]any{"table": d.table}
			for n, v := range t.docs[d][r] {
				m[n] = v
			}
			l = append(l, m)
		}
	}
	return l
}

const (
	targetPrefix = "DynamoDB_20120810."
	opTransact   = "TransactWriteItems"
	maxRequest   = 8 << 20
)

func (t *Table) serve(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
	if err != nil {
		return
	}
	if !t.admit(w, r) {
		return
	}
	op := strings.TrimPrefix(r.Header.Get("X-Amz-Target"), targetPrefix)
	if t.throttled(op == opTransact) {
		(&apiError{Type: errorPrefix + "ThrottlingException", Message: "limit exceeded"}).write(w)
		return
	}
	switch op {
	case "GetItem":
		t.read(w, b, t.getItem)
	case "Query":
		t.read(w, b, t.query)
	case opTransact:
		t.delayWrite()
		out, fail := t.transact(b)
		if fail != nil {
			t.count(Counts{Failed: 1})
			fail.write(w)
			return
		}
		t.count(Counts{Writes: 1})
		if t.loseReply(w, r) {
			return
		}
		t.answer(w, out)
	default:
		invalid("operation %q is not supported", op).write(w)
	}
}

func (t *Table) read(w http.ResponseWriter, b []byte, op func([]byte) (any, *apiError)) {
	t.count(Counts{Reads: 1})
	out, fail := op(b)
	if fail != nil {
		fail.write(w)
		return
	}
	t.answer(w, out)
}

const contentType = "application/x-amz-json-1.0"

func (t *Table) answer(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(b)
}
