package conns

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/admit"
	"heatherrouter/core/retry"
)

const (
	okHead      = "HTTP/1.1 200 OK\r\n"
	chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n"
	testMaxBody = 1 << 20
)

// endlessServer answers each request with a start and then sends more until its connection ends, which it reports. A pause follows each
// time that more was sent.
type endlessServer struct {
	start, more string
	pause       time.Duration
	closed      chan struct{}
}

func (s *endlessServer) serve(_ int, c net.Conn) {
	readRequest(c)
	_, err := fmt.Fprint(c, s.start)
	for err == nil {
		_, err = fmt.Fprint(c, s.more)
		time.Sleep(s.pause)
	}
	s.closed <- struct{}{}
}

// readRequest reads one request without a body.
func readRequest(c net.Conn) {
	b := make([]byte, 4096)
	_, _ = c.Read(b)
}

// Guards against a server whose response never ends: it would take memory until the daemon ends, or a slot until the deadline. The
// connection must be closed after a bounded number of bytes and time, and the response counts against the server.
func TestEndlessResponse(t *testing.T) {
	filler := strings.Repeat("a", 1000)
	for _, x := range []struct {
		name        string
		start, more string
		pause       time.Duration
		bytes       int64         // most bytes read
		atLeast     time.Duration // shortest time
	}{
		{name: "status line", start: "HTTP/1.1 200 ", more: filler, bytes: 2 * maxHead},
		{name: "header lines", start: okHead, more: "A: b\r\n", bytes: 2 * maxHead},
		{name: "header line", start: okHead + "A: ", more: filler, bytes: 2 * maxHead},
		{name: "interim responses", more: "HTTP/1.1 100 Continue\r\n\r\n", bytes: 2 * maxHead},
		{name: "large interim responses", more: "HTTP/1.1 103 Early Hints\r\nA: " + strings.Repeat(filler, 5) + "\r\n\r\n", bytes: 3 * maxHead},
		{name: "stated length", start: okHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", testMaxBody+1), more: filler, bytes: 2 * maxHead},
		{name: "no length", start: okHead + "\r\n", more: filler, bytes: testMaxBody + 2*maxHead},
		{name: "chunks", start: chunkedHead, more: "3e8\r\n" + filler + "\r\n", bytes: testMaxBody + testMaxBody/64 + 3*maxHead},
		{name: "one chunk", start: chunkedHead + "fffffffff\r\n", more: filler, bytes: testMaxBody + 3*maxHead},
		{name: "chunks of one byte", start: chunkedHead, more: strings.Repeat("1\r\na\r\n", 100), bytes: 2*testMaxBody + 3*maxHead},
		{name: "small chunks with extensions", start: chunkedHead, more: strings.Repeat("1;ab=cdefg\r\na\r\n", 100), bytes: 2*testMaxBody + 3*maxHead},
		{name: "chunk extension", start: chunkedHead + "1;", more: filler, bytes: 3 * maxHead},
		{name: "chunk extensions", start: chunkedHead, more: "1;" + filler + "\r\na\r\n", bytes: 4 * maxHead},
		{name: "trailers", start: chunkedHead + "0\r\n", more: "A: b\r\n", bytes: 3 * maxHead},
		{name: "trailer", start: chunkedHead + "0\r\nA: ", more: filler, bytes: 3 * maxHead},
		{name: "header by the byte", start: okHead, more: "a", pause: 10 * time.Millisecond, bytes: 1000, atLeast: headTimeout},
		{name: "status line by the byte", more: "H", pause: 10 * time.Millisecond, bytes: 1000, atLeast: headTimeout},
		{name: "trailers by the byte", start: chunkedHead + "1\r\na\r\n0\r\n", more: "a", pause: 10 * time.Millisecond, bytes: 1000, atLeast: headTimeout},
		{name: "interim response by the byte", start: "HTTP/1.1 100 Continue\r\n", more: "a", pause: 10 * time.Millisecond, bytes: 1000, atLeast: headTimeout},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			s := &endlessServer{start: x.start, more: x.more, pause: x.pause, closed: make(chan struct{}, 2)}
			p := newPool(t, Options{Addr: listen(t, s.serve), MaxBody: testMaxBody, CloseDelimited: true, DialTimeout: 5 * time.Second})
			call := Call{Deadline: time.Now().Add(time.Minute)}
			began := time.Now()
			r, _ := do(p, call, "/")
			took := time.Since(began)
			require.ErrorIs(t, r.Err, ErrEndless)
			require.Equal(t, retry.Unknown, r.Outcome)
			require.Equal(t, admit.EndEndless, r.End)
			require.GreaterOrEqual(t, took, x.atLeast)
			require.Less(t, took, x.atLeast+3*time.Second)
			require.Zero(t, p.Stats().Open)
			select {
			case <-s.closed:
			case <-time.After(5 * time.Second):
				require.Fail(t, "the connection is open")
			}
			if x.atLeast == 0 {
				require.LessOrEqual(t, bytesRead(t, p, call), x.bytes)
			}
		})
	}
}

// Guards against a response that keeps the memory of a body that was no answer.
func TestEndlessBodyIsNotKept(t *testing.T) {
	filler := strings.Repeat("a", 1000)
	for _, x := range []struct{ start, more string }{{okHead + "\r\n", filler}, {chunkedHead, "3e8\r\n" + filler + "\r\n"}} {
		s := &endlessServer{start: x.start, more: x.more, closed: make(chan struct{}, 1)}
		p := newPool(t, Options{Addr: listen(t, s.serve), MaxBody: testMaxBody, CloseDelimited: true, DialTimeout: 5 * time.Second})
		resp := &fasthttp.Response{}
		r := p.Do(t.Context(), Call{Deadline: time.Now().Add(time.Minute)}, get("/"), resp)
		require.ErrorIs(t, r.Err, ErrEndless)
		require.Empty(t, resp.Body())
	}
}

// bytesRead repeats the exchange and returns how many bytes of the response were taken from the connection.
func bytesRead(t *testing.T, p *Pool, call Call) int64 {
	c, r := p.get(t.Context(), call, 0)
	require.NoError(t, r.Err)
	defer p.discard(c)
	r = c.do(t.Context(), p, call, get("/"), &fasthttp.Response{}, false)
	require.Equal(t, admit.EndEndless, r.End)
	return c.received
}

// Guards against a body that trickles beyond the deadline of its request.
func TestBodyEndsAtTheDeadline(t *testing.T) {
	for _, start := range []string{okHead + "Content-Length: 100000\r\n\r\n", okHead + "\r\n", chunkedHead + "fffff\r\n"} {
		s := &endlessServer{start: start, more: "a", pause: 5 * time.Millisecond, closed: make(chan struct{}, 1)}
		p := newPool(t, Options{Addr: listen(t, s.serve), CloseDelimited: true})
		began := time.Now()
		r, _ := do(p, Call{Deadline: began.Add(300 * time.Millisecond)}, "/")
		require.Equal(t, retry.Unknown, r.Outcome)
		require.Equal(t, admit.EndTimeout, r.End, "%v", r.Err)
		require.Less(t, time.Since(began), 2*time.Second)
		require.Zero(t, p.Stats().Open)
	}
}

// Guards against refusing large or slow responses that are within the limits.
func TestResponsesWithinTheLimits(t *testing.T) {
	body := strings.Repeat("a", testMaxBody)
	var chunks, small strings.Builder
	for i := 0; i < testMaxBody; i += 1 << 10 {
		fmt.Fprintf(&chunks, "400;name=value\r\n%s\r\n", body[:1<<10])
	}
	for range 50_000 {
		small.WriteString("1\r\na\r\n")
	}
	filler := "A: " + strings.Repeat("a", 1000) + "\r\n"
	pause := headTimeout + 200*time.Millisecond
	for _, x := range []struct {
		name  string
		parts []string // a pause follows each but the last
		size  int
	}{
		{"stated length", []string{okHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", testMaxBody) + body}, testMaxBody},
		{"no length", []string{okHead + "\r\n" + body}, testMaxBody},
		{"chunks", []string{chunkedHead + chunks.String() + "0\r\nA: b\r\n\r\n"}, testMaxBody},
		{"chunks of one byte", []string{chunkedHead + small.String() + "0\r\n\r\n"}, 50_000},
		{"large header and trailers", []string{okHead + "Transfer-Encoding: chunked\r\n" + strings.Repeat(filler, 8) + "\r\n1\r\na\r\n0\r\n" + strings.Repeat(filler, 7) + "\r\n"}, 1},
		{"large header", []string{okHead + strings.Repeat(filler, 16) + "Content-Length: 1\r\n\r\na"}, 1},
		{"interim responses", []string{strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInterim) + okHead + "Content-Length: 1\r\n\r\na"}, 1},
		{"late header", []string{"", okHead + "Content-Length: 1\r\n\r\na"}, 1},
		{"late header after an interim response", []string{"HTTP/1.1 102 Processing\r\n\r\n", okHead + "Content-Length: 1\r\n\r\na"}, 1},
		{"late body", []string{okHead + "Content-Length: 2\r\n\r\na", "a"}, 2},
		{"late chunk", []string{chunkedHead + "2\r\na", "a\r\n0\r\n\r\n"}, 2},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			a := listen(t, func(_ int, c net.Conn) {
				readRequest(c)
				for i, part := range x.parts {
					if i > 0 {
						time.Sleep(pause)
					}
					fmt.Fprint(c, part)
				}
			})
			p := newPool(t, Options{Addr: a, MaxBody: testMaxBody, CloseDelimited: true})
			r, got := do(p, Call{Deadline: time.Now().Add(time.Minute)}, "/")
			require.NoError(t, r.Err)
			require.Equal(t, retry.Answered, r.Outcome)
			require.Len(t, got, x.size)
		})
	}
}
