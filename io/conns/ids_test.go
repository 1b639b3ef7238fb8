package conns

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/retry"
)

// doWithID sends a request with the id.
func doWithID(p *Pool, call Call, id string) Result {
	req, resp := get("/"), &fasthttp.Response{}
	req.Header.Set(HeaderRequestID, id)
	return p.Do(context.Background(), call, req, resp)
}

// refuser is a server that refuses the first request with each id and answers later ones with 200. Each response is followed by a
// copy when the next request on its connection arrives.
type refuser struct {
	mu   sync.Mutex
	seen map[string]int
}

func (r *refuser) serve(_ int, c net.Conn) {
	br := bufio.NewReader(c)
	var late string
	for {
		req := &fasthttp.Request{}
		if req.Read(br) != nil {
			return
		}
		id := string(req.Header.Peek(HeaderRequestID))
		r.mu.Lock()
		r.seen[id]++
		n := r.seen[id]
		r.mu.Unlock()
		s := "HTTP/1.1 503 X\r\n" + HeaderNotRun + ": 1\r\n"
		if n > 1 {
			s = "HTTP/1.1 200 OK\r\n"
		}
		s += fmt.Sprintf("%s: %s\r\nContent-Length: 0\r\n\r\n", HeaderRequestID, id)
		fmt.Fprint(c, late+s)
		late = s
	}
}

// Guards against a request that runs twice, or is refused though it runs: a late copy of a server's refusal, which carries the same
// id, is taken for the response to the next send of the request.
func TestLateCopyOfRefusal(t *testing.T) {
	for _, x := range []struct {
		name     string
		maxConns int
	}{{"further connections", 8}, {"one connection", 1}} {
		t.Run(x.name, func(t *testing.T) {
			r := &refuser{seen: map[string]int{}}
			p := newPool(t, Options{Addr: listen(t, r.serve), MaxConns: x.maxConns})
			for i := range 10 {
				id := fmt.Sprint("r", i)
				call := Call{Deadline: time.Now().Add(time.Second)}
				require.Equal(t, retry.NotRun, doWithID(p, call, id).Outcome)
				require.Equal(t, retry.Answered, doWithID(p, call, id).Outcome)
				require.Equal(t, 2, r.seen[id], "sends of request %s", id)
			}
			require.LessOrEqual(t, p.Stats().Open, x.maxConns)
		})
	}
}

// Guards against a request that reaches a server that may have restarted, because it can't be sent again on the open connection.
func TestReuseOnlyHasNoOtherConnection(t *testing.T) {
	r := &refuser{seen: map[string]int{}}
	p := newPool(t, Options{Addr: listen(t, r.serve)})
	call := Call{Deadline: time.Now().Add(time.Second)}
	require.Equal(t, retry.NotRun, doWithID(p, call, "a").Outcome)
	call.ReuseOnly = true
	require.ErrorIs(t, doWithID(p, call, "a").Err, ErrNoReuse)
	require.Equal(t, 1, r.seen["a"])
}

// Guards against memory that grows with each request on a connection.
func TestExpiredRequestsAreForgotten(t *testing.T) {
	c := &conn{}
	for i := range 1000 {
		c.recordSent(requestHash(i+1), time.Now().Add(-time.Second))
	}
	require.Len(t, c.sent, 1)
}

// Guards against a response that reaches another caller: a late copy of a response without an id can't be told from the response to
// the next request on its connection.
func TestLateCopyWithoutID(t *testing.T) {
	a := listen(t, func(_ int, c net.Conn) {
		late := ""
		readRequests(c, func(path string) {
			fmt.Fprint(c, late+responseText(path))
			late = responseText(path)
		})
	})
	p := newPool(t, Options{Addr: a, ReuseIdentified: true})
	for i := range 5 {
		r, body := do(p, shortCall(), fmt.Sprint("/", i))
		require.NoError(t, r.Err)
		require.Equal(t, fmt.Sprint("/", i), body)
	}
}
