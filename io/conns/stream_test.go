package conns

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/admit"
	"heatherrouter/core/retry"
)

func TestStreamBothWays(t *testing.T) {
	payload := bytes.Repeat([]byte("series "), 1<<18)
	s := &fasthttp.Server{StreamRequestBody: true, MaxRequestBodySize: 1 << 30, Handler: func(c *fasthttp.RequestCtx) {
		b, err := io.ReadAll(c.RequestBodyStream())
		if err != nil {
			c.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		if string(c.Path()) == "/chunked" {
			c.SetBodyStream(bytes.NewReader(b), -1)
			return
		}
		c.SetBody(b)
	}}
	p := newPool(t, Options{Addr: listen(t, func(_ int, c net.Conn) { _ = s.ServeConn(c) })})
	for _, x := range []struct {
		path string
		size int
	}{{"/fixed", len(payload)}, {"/chunked", -1}, {"/fixed", -1}} {
		req, resp := get(x.path), &fasthttp.Response{}
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyStream(bytes.NewReader(payload), x.size)
		b, r := p.DoStream(context.Background(), Call{Deadline: time.Now().Add(5 * time.Second)}, req, resp)
		require.NoError(t, r.Err)
		got, err := io.ReadAll(b)
		require.NoError(t, err)
		require.Equal(t, payload, got)
		require.Equal(t, retry.Answered, b.Close().Outcome)
		require.Equal(t, Stats{Open: 1, Idle: 1}, p.Stats(), "one connection is reused for all exchanges")
	}
}

// Guards against a truncated body that looks whole to the caller. The server announces more than it sends before it
// crashes.
func TestStreamTruncated(t *testing.T) {
	for name, response := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			a := listen(t, func(_ int, c net.Conn) {
				readRequests(c, func(string) { fmt.Fprint(c, response); c.Close() })
			})
			p := newPool(t, Options{Addr: a})
			s, r := p.DoStream(context.Background(), shortCall(), get("/"), &fasthttp.Response{})
			require.Equal(t, retry.Answered, r.Outcome)
			got, err := io.ReadAll(s)
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			require.Equal(t, "half", string(got))
			r = s.Close()
			require.Equal(t, retry.Unknown, r.Outcome)
			require.Equal(t, admit.EndReset, r.End)
			require.Zero(t, p.Stats().Open)
		})
	}
}

// Guards against a read that never ends: the connection becomes unresponsive in the middle of the body, so the read
// must fail after StallTimeout. The call's deadline has passed by then and does not limit the body.
func TestStreamStall(t *testing.T) {
	a := listen(t, func(_ int, c net.Conn) {
		readRequests(c, func(string) {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n")
			for range 4 { // past the deadline, but with progress
				fmt.Fprint(c, "x")
				time.Sleep(40 * time.Millisecond)
			}
		})
	})
	p := newPool(t, Options{Addr: a, StallTimeout: 80 * time.Millisecond})
	call := Call{Deadline: time.Now().Add(60 * time.Millisecond)}
	s, r := p.DoStream(context.Background(), call, get("/"), &fasthttp.Response{})
	require.NoError(t, r.Err)
	got, err := io.ReadAll(s)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, "xxxx", string(got))
	require.Equal(t, admit.EndTimeout, s.Close().End)
}

// Guards against work that goes on at the server after the caller has disconnected during a download. The server must
// see its connection closed, by the context or by Close; the connection with the rest of the body is not reused.
func TestStreamAbandoned(t *testing.T) {
	for _, byContext := range []bool{false, true} {
		gone := make(chan struct{})
		a := listen(t, func(_ int, c net.Conn) {
			readRequests(c, func(string) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nx") })
			close(gone)
		})
		p := newPool(t, Options{Addr: a})
		ctx, cancel := context.WithCancel(context.Background())
		s, r := p.DoStream(ctx, shortCall(), get("/"), &fasthttp.Response{})
		require.NoError(t, r.Err)
		if byContext {
			cancel()
			_, err := io.ReadAll(s)
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		}
		r = s.Close()
		cancel()
		require.Equal(t, admit.EndCancelled, r.End)
		require.Equal(t, retry.Unknown, r.Outcome)
		<-gone
		require.Zero(t, p.Stats().Open)
	}
}

// Guards against running a truncated upload as a whole one. The server must see the truncation, and the failure must
// not count against the server.
func TestUploadTruncatedByCaller(t *testing.T) {
	seen := make(chan error, 1)
	s := &fasthttp.Server{StreamRequestBody: true, Handler: func(c *fasthttp.RequestCtx) {
		b, err := io.ReadAll(c.RequestBodyStream())
		// fasthttp's server ends a body stream without an error if a body of known length is truncated.
		if n := c.Request.Header.ContentLength(); n >= 0 && len(b) < n {
			err = io.ErrUnexpectedEOF
		}
		seen <- err
	}}
	p := newPool(t, Options{Addr: listen(t, func(_ int, c net.Conn) { _ = s.ServeConn(c) })})
	for _, size := range []int{100 << 10, -1} {
		req := get("/")
		req.Header.SetMethod(fasthttp.MethodPost)
		truncated := iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 100<<10))))
		req.SetBodyStream(io.MultiReader(strings.NewReader(strings.Repeat("y", 20<<10)), truncated), size)
		_, r := p.DoStream(context.Background(), shortCall(), req, &fasthttp.Response{})
		require.Equal(t, retry.Unknown, r.Outcome)
		require.Equal(t, admit.EndCancelled, r.End)
		require.Error(t, <-seen)
	}
}

// Guards against losing the refusal of a server that responds and closes before it has read the body. The write
// fails, but the response already received gives the certain outcome.
func TestEarlyRefusal(t *testing.T) {
	a := listen(t, func(_ int, c net.Conn) {
		fmt.Fprint(c, "HTTP/1.1 503 X\r\nHeatherrouter-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		_ = c.(*net.TCPConn).CloseRead()
		time.Sleep(50 * time.Millisecond)
	})
	p := newPool(t, Options{Addr: a})
	req := get("/")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyStream(iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 1<<20))), 1<<20)
	s, r := p.DoStream(context.Background(), shortCall(), req, &fasthttp.Response{})
	require.Nil(t, s)
	require.Equal(t, retry.NotRun, r.Outcome, "%v", r.Err)
	require.Equal(t, admit.EndRefused, r.End)
}
