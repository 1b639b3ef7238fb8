package fakes_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"heatherrouter/io/fakes"
)

func newTable(t *testing.T) *fakes.Table {
	f, err := fakes.NewTable(fakes.TableOptions{PageRows: 2})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

// call sends one operation and returns the status and the body of the answer.
func call(t *testing.T, f *fakes.Table, op, body string) (int, string) {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.URL(), strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set("X-Amz-Target", "DynamoDB_20120810."+op)
	a, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	return a.StatusCode, string(b)
}

func put(row, rev, condition string) string {
	c := ""
	if condition != "" {
		c = fmt.Sprintf(`,"ConditionExpression":%q,"ExpressionAttributeNames":{"#r":"rev"}`, condition)
	}
	return fmt.Sprintf(`{"Put":{"TableName":"t","Item":{"doc":{"S":"d"},"row":{"S":%q},"rev":{"N":%q}}%s}}`, row, rev, c)
}

func transaction(l ...string) string {
	return `{"TransactItems":[` + strings.Join(l, ",") + `]}`
}

func TestTableCancellationReasons(t *testing.T) {
	f := newTable(t)
	status, _ := call(t, f, "TransactWriteItems", transaction(put("a", "1", "attribute_not_exists(#r)"), put("b", "1", "")))
	require.Equal(t, http.StatusOK, status)
	status, body := call(t, f, "TransactWriteItems", transaction(put("b", "2", ""), put("a", "2", "attribute_not_exists(#r)")))
	require.Equal(t, http.StatusBadRequest, status)
	var e struct {
		Type    string                  `json:"__type"`
		Reasons []struct{ Code string } `json:"CancellationReasons"`
	}
	require.NoError(t, json.Unmarshal([]byte(body), &e))
	require.Equal(t, "com.amazonaws.dynamodb.v20120810#TransactionCanceledException", e.Type)
	require.Equal(t, "None", e.Reasons[0].Code)
	require.Equal(t, "ConditionalCheckFailed", e.Reasons[1].Code)
	_, body = call(t, f, "GetItem", `{"TableName":"t","Key":{"doc":{"S":"d"},"row":{"S":"b"}}}`)
	require.Contains(t, body, `{"N":"1"}`, "nothing of a refused transaction is written")
}

func TestTableRefusesWrongTransactions(t *testing.T) {
	var many []string
	for i := range 101 {
		many = append(many, put(fmt.Sprint("r", i), "1", ""))
	}
	tests := []struct{ name, op, body, message string }{
		{"no JSON", "TransactWriteItems", `{`, "JSON"},
		{"none", "TransactWriteItems", transaction(), "0 items"},
		{"too many", "TransactWriteItems", transaction(many...), "101 items"},
		{"twice", "TransactWriteItems", transaction(put("a", "1", ""), put("a", "2", "")), "two actions"},
		{"no key", "TransactWriteItems", transaction(put("", "1", "")), "key attributes"},
		{"update", "TransactWriteItems", transaction(`{"Update":{}}`), "no supported action"},
		{"condition", "TransactWriteItems", transaction(put("a", "1", "size(#r) > :x")), "not supported"},
		{"value", "TransactWriteItems", transaction(put("a", "1", "#r = :x")), "not defined"},
		{"query by sort key", "Query", `{"KeyConditionExpression":"row = :d"}`, "not supported"},
		{"scan", "Scan", `{}`, "not supported"},
	}
	f := newTable(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, body := call(t, f, tt.op, tt.body)
			require.Equal(t, http.StatusBadRequest, status)
			require.Contains(t, body, "ValidationException")
			require.Contains(t, body, tt.message)
		})
	}
	require.Empty(t, f.Dump())
}

func TestTableOtherActions(t *testing.T) {
	f := newTable(t)
	status, _ := call(t, f, "TransactWriteItems", transaction(put("a", "1", ""), put("b", "1", "")))
	require.Equal(t, http.StatusOK, status)
	const key = `"TableName":"t","Key":{"doc":{"S":"d"},"row":{"S":%q}}`
	check := fmt.Sprintf(`{"ConditionCheck":{`+key+`,"ConditionExpression":"rev = :x","ExpressionAttributeValues":{":x":{"N":"1"}}}}`, "a")
	status, _ = call(t, f, "TransactWriteItems", transaction(check, fmt.Sprintf(`{"Delete":{`+key+`}}`, "b")))
	require.Equal(t, http.StatusOK, status)
	require.Len(t, f.Dump(), 1)
}

func TestTablePages(t *testing.T) {
	f := newTable(t)
	for _, r := range []string{"e", "a", "d", "c", "b"} {
		call(t, f, "TransactWriteItems", transaction(put(r, "1", "")))
	}
	var rows []string
	start, pages := "", 0
	for {
		_, body := call(t, f, "Query", `{"TableName":"t","KeyConditionExpression":"doc = :d",`+
			`"ExpressionAttributeValues":{":d":{"S":"d"}}`+start+`}`)
		var p struct {
			Items            []struct{ Row struct{ S string } }
			LastEvaluatedKey json.RawMessage
		}
		require.NoError(t, json.NewDecoder(bytes.NewBufferString(body)).Decode(&p))
		for _, i := range p.Items {
			rows = append(rows, i.Row.S)
		}
		pages++
		if p.LastEvaluatedKey == nil {
			break
		}
		start = `,"ExclusiveStartKey":` + string(p.LastEvaluatedKey)
	}
	require.Equal(t, []string{"a", "b", "c", "d", "e"}, rows)
	require.Equal(t, 3, pages)
}

func TestCall(t *testing.T) {
	f := newTable(t)
	var s fakes.Status
	require.NoError(t, fakes.Call(t.Context(), f.ControlURL()+"/control", fakes.Faults{LatencyMS: 3}, nil))
	require.NoError(t, fakes.Call(t.Context(), f.ControlURL()+"/control", nil, &s))
	require.Equal(t, 3, s.Faults.LatencyMS)
	require.ErrorContains(t, fakes.Call(t.Context(), f.ControlURL()+"/nothing", nil, nil), "404")
	require.Error(t, fakes.Call(t.Context(), "http://127.0.0.1:1/control", nil, nil))
}
