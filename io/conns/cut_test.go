package conns

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/retry"
)

// cutResponse is a response that a server may stop sending at any byte.
type cutResponse struct {
	name, method string
	head, body   string // as sent; the body with its framing
	content      string // the body without its framing
	closes       bool   // the body ends with the connection
	incomplete   bool   // the head needs some bytes of the body to be taken for whole
}

const manyFields = "Server: s\r\nDate: Sat, 05 Dec 2026 02:00:00 GMT\r\nHeatherrouter-Incarnation: 7\r\nX: a\r\n"

var cutResponses = []cutResponse{
	{name: "length", head: okHead + manyFields + "Content-Length: 12\r\n\r\n", body: "twelve bytes", content: "twelve bytes"},
	{name: "length first", head: okHead + "Content-Length: 12\r\n" + manyFields + "\r\n", body: "twelve bytes", content: "twelve bytes"},
	{name: "empty", head: okHead + "Content-Length: 0\r\nX: a\r\n\r\n"},
	{name: "chunks", head: okHead + "X: a\r\nTransfer-Encoding: chunked\r\n\r\n", body: "10\r\nsixteen bytes ab\r\n004;a=b\r\nmore\r\n0\r\n\r\n", content: "sixteen bytes abmore"},
	{name: "chunks and trailers", head: okHead + "Trailer: A\r\nTransfer-Encoding: chunked\r\n\r\n", body: "4\r\nmore\r\n00\r\nA: b\r\nC: d\r\n\r\n", content: "more"},
	{name: "no chunk but the last", head: chunkedHead, body: "0\r\n\r\n"},
	{name: "end of connection", head: okHead + manyFields + "\r\n", body: "until the end", content: "until the end", closes: true},
	{name: "end of connection, no body", head: okHead + "X: a\r\n\r\n", closes: true},
	{name: "folded line", head: okHead + "X: a\r\n b\r\nContent-Length:\r\n 2\r\nY: c\r\n\td\r\n\r\n", body: "ab", content: "ab"},
	{name: "interim", head: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + okHead + "Content-Length: 2\r\n\r\n", body: "ab", content: "ab"},
	{name: "interim, end of connection", head: "HTTP/1.1 102 Processing\r\n\r\n" + okHead + "X: a\r\n\r\n", body: "ab", content: "ab", closes: true},
	{name: "head", method: fasthttp.MethodHead, head: okHead + "Content-Length: 1234\r\nX: a\r\n\r\n"},
	{name: "head, chunks", method: fasthttp.MethodHead, head: okHead + "X: a\r\nTransfer-Encoding: chunked\r\n\r\n"},
	{name: "no content", head: "HTTP/1.1 204 No Content\r\nX: a\r\n\r\n"},
	{name: "not modified", head: "HTTP/1.1 304 Not Modified\r\nContent-Length: 1234\r\n\r\n"},
	{name: "http/1.0, length", head: "HTTP/1.0 200 OK\r\nX: a\r\nContent-Length: 2\r\n\r\n", body: "ab", content: "ab"},
	{name: "http/1.0, end of connection", head: "HTTP/1.0 200 OK\r\nX: a\r\n\r\n", body: "ab", content: "ab", closes: true},
	{name: "length by line feeds", head: strings.ReplaceAll(okHead+"X: a\r\nContent-Length: 6\r\n\r\n", "\r\n", "\n"), body: "\r\n\r\nab", content: "\r\n\r\nab", incomplete: true},
}

// endings are the ways in which a server ends a connection.
var endings = []struct {
	name  string
	pause time.Duration
	reset bool
}{{name: "close"}, {name: "reset", reset: true}, {name: "pause and close", pause: time.Millisecond}, {name: "pause and reset", pause: time.Millisecond, reset: true}}

// whole reports whether n bytes of the response are a whole one.
func (x cutResponse) whole(n int, reset bool) bool {
	if x.closes && !reset {
		return n >= len(x.head)
	}
	return n == len(x.head)+len(x.body) && (!x.closes || !reset)
}

// wholeBody returns the body of a whole response of n bytes.
func (x cutResponse) wholeBody(n int) string {
	if x.closes {
		return x.body[:n-len(x.head)]
	}
	return x.content
}

// cutServer sends a part of a response to the request with the path /cut/BYTES and then ends the connection. It answers others.
func cutServer(t *testing.T, x cutResponse, pause time.Duration, resets bool) *Pool {
	a := listen(t, func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		for {
			req := &fasthttp.Request{}
			if req.Header.Read(r) != nil {
				return
			}
			n := 0
			if _, err := fmt.Sscanf(string(req.RequestURI()), "/cut/%d", &n); err != nil {
				writeResponse(c, "whole")
				continue
			}
			_, _ = io.WriteString(c, (x.head + x.body)[:n])
			time.Sleep(pause)
			if resets {
				reset(c)
			}
			return
		}
	})
	return newPool(t, Options{Addr: a, CloseDelimited: true, DialTimeout: 5 * time.Second})
}

// forEachCut calls f in a test for each response and ending, with the numbers of bytes at which the response may be cut.
func forEachCut(t *testing.T, f func(t *testing.T, x cutResponse, p *Pool, reset bool, cuts []int)) {
	for _, x := range cutResponses {
		for _, e := range endings {
			t.Run(x.name+", "+e.name, func(t *testing.T) {
				t.Parallel()
				var cuts []int
				for n := range len(x.head) + len(x.body) + 1 {
					cuts = append(cuts, n)
				}
				f(t, x, cutServer(t, x, e.pause, e.reset), e.reset, cuts)
			})
		}
	}
}

func cutRequest(x cutResponse, n int) *fasthttp.Request {
	req := get(fmt.Sprintf("/cut/%d", n))
	if x.method != "" {
		req.Header.SetMethod(x.method)
	}
	return req
}

func cutCall() Call { return Call{Deadline: time.Now().Add(10 * time.Second)} }

// Guards against a response that is cut at any byte and passes for a whole one, on a new connection or a kept one.
func TestCutResponseIsNotWhole(t *testing.T) {
	forEachCut(t, func(t *testing.T, x cutResponse, p *Pool, reset bool, cuts []int) {
		for _, n := range cuts {
			for _, kept := range []bool{false, true} {
				if kept {
					r, _ := do(p, cutCall(), "/")
					require.NoError(t, r.Err)
				}
				resp := &fasthttp.Response{}
				r := p.Do(t.Context(), cutCall(), cutRequest(x, n), resp)
				require.Equal(t, !kept, r.Fresh)
				p.CloseIdle()
				if r.Outcome == retry.Answered {
					require.True(t, x.whole(n, reset), "%d bytes, kept %v", n, kept)
					require.Equal(t, x.wholeBody(n), string(resp.Body()))
					continue
				}
				require.Error(t, r.Err)
				require.False(t, x.whole(n, false) && !reset, "%d bytes, kept %v: %v", n, kept, r.Err)
			}
		}
	})
}

// Guards against a streamed response that is cut at any byte and passes for a whole one.
func TestCutStreamIsNotWhole(t *testing.T) {
	forEachCut(t, func(t *testing.T, x cutResponse, p *Pool, reset bool, cuts []int) {
		for _, n := range cuts {
			s, r := p.DoStream(t.Context(), cutCall(), cutRequest(x, n), &fasthttp.Response{})
			if s == nil {
				require.Error(t, r.Err)
				require.True(t, x.closes || x.incomplete || reset || n < len(x.head), "%d bytes: %v", n, r.Err)
				continue
			}
			b, err := io.ReadAll(s)
			r = s.Close()
			p.CloseIdle()
			if err == nil {
				require.Equal(t, retry.Answered, r.Outcome)
				require.True(t, !x.closes && x.whole(n, reset), "%d bytes", n)
				require.Equal(t, x.content, string(b))
				continue
			}
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			require.Equal(t, retry.Unknown, r.Outcome)
			require.False(t, x.whole(n, false) && !reset, "%d bytes: %v", n, r.Err)
		}
	})
}

// Guards against a response that is cut at any byte and passes for a whole one, while its request is still sent. The server has not read the
// request, so that each connection ends with a reset, which the write may receive instead of the read.
func TestCutAnswerToUnreadRequestIsNotWhole(t *testing.T) {
	long := strings.Repeat("x", 8<<20)
	for name, fill := range map[string]func(req *fasthttp.Request){
		"body":   func(req *fasthttp.Request) { req.SetBodyString(long) },
		"header": func(req *fasthttp.Request) { req.Header.Set("Filler", long) },
	} {
		for _, x := range cutResponses {
			if x.method != "" {
				continue
			}
			t.Run(name+", "+x.name, func(t *testing.T) {
				t.Parallel()
				a := listen(t, func(_ int, c net.Conn) {
					b, n := make([]byte, 100), 0
					if _, err := io.ReadFull(c, b); err != nil {
						return
					}
					_, err := fmt.Sscanf(string(b), "POST /cut/%d", &n)
					require.NoError(t, err)
					_, _ = io.WriteString(c, (x.head + x.body)[:n])
				})
				p := newPool(t, Options{Addr: a, CloseDelimited: true, DialTimeout: 5 * time.Second})
				req, resp := cutRequest(x, 0), &fasthttp.Response{}
				req.Header.SetMethod(fasthttp.MethodPost)
				fill(req)
				for n := max(0, len(x.head)-20); n <= len(x.head)+len(x.body); n++ {
					req.SetRequestURI(fmt.Sprintf("/cut/%d", n))
					r := p.Do(t.Context(), cutCall(), req, resp)
					require.Zero(t, p.Stats().Open, "the connection must not be reused")
					if r.Outcome == retry.Answered {
						require.True(t, x.whole(n, true), "%d bytes: %q", n, resp.Body())
						require.Equal(t, x.content, string(resp.Body()))
						continue
					}
					require.Error(t, r.Err)
				}
			})
		}
	}
}

// Guards against refusing a whole response without a length that is sent before the request has been read. The server ends its data before
// it closes the connection, which is then reset because of the unread request.
func TestEarlyResponseThatEndsWithItsData(t *testing.T) {
	a := listen(t, func(_ int, c net.Conn) {
		readRequest(c)
		_, _ = io.WriteString(c, okHead+"\r\nwhole")
		_ = c.(*net.TCPConn).CloseWrite()
		time.Sleep(5 * time.Millisecond)
	})
	p := newPool(t, Options{Addr: a, CloseDelimited: true, DialTimeout: 5 * time.Second})
	req, resp := get("/"), &fasthttp.Response{}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyRaw(make([]byte, 8<<20))
	for range 50 {
		r := p.Do(t.Context(), cutCall(), req, resp)
		require.NoError(t, r.Err)
		require.Equal(t, "whole", string(resp.Body()))
		require.Zero(t, p.Stats().Open)
	}
}
