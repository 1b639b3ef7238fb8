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
	volume := bytes.Repeat([]byte("series "), 1<<18)
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
	}{{"/fixed", len(volume)}, {"/chunked", -1}, {"/fixed", -1}} {
		req, resp := get(x.path), &fasthttp.Response{}
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyStream(bytes.NewReader(volume), x.size)
		b, r := p.DoStream(context.Background(), Call{Deadline: time.Now().Add(5 * time.Second)}, req, resp)
		require.NoError(t, r.Err)
		got, err := io.ReadAll(b)
		require.NoError(t, err)
		require.Equal(t, volume, got)
		require.Equal(t, retry.Answered, b.Close().Outcome)
		require.Equal(t, Stats{Open: 1, Idle: 1}, p.Stats(), "one connection is kept for all")
	}
}

// The caller sees a cut volume as cut. The server announces more than it sends before it dies; an end that
// looks whole would leave an analyst with half the figures and no sign of it.
func TestStreamCut(t *testing.T) {
	for name, answer := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			a := listen(t, func(_ int, c net.Conn) {
				requests(c, func(string) { fmt.Fprint(c, answer); c.Close() })
			})
			p := newPool(t, Options{Addr: a})
			s, r := p.DoStream(context.Background(), soon(), get("/"), &fasthttp.Response{})
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

// The caller sees a cut volume after the stall time, not never. The connection goes silent in the middle of
// the body; the call's deadline is long past by then and doesn't bound the body.
func TestStreamStall(t *testing.T) {
	a := listen(t, func(_ int, c net.Conn) {
		requests(c, func(string) {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n")
			for range 4 { // beyond the deadline, but with progress
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

// The caller leaves in the middle of a download. The server sees its connection closed, by the context or by
// Close, and can stop; the connection with the rest of the body is not used again.
func TestStreamAbandoned(t *testing.T) {
	for _, byContext := range []bool{false, true} {
		gone := make(chan struct{})
		a := listen(t, func(_ int, c net.Conn) {
			requests(c, func(string) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nx") })
			close(gone)
		})
		p := newPool(t, Options{Addr: a})
		ctx, cancel := context.WithCancel(context.Background())
		s, r := p.DoStream(ctx, soon(), get("/"), &fasthttp.Response{})
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

// The caller's upload is cut. The server must see it cut and not run it as whole, and the failure is not
// counted as the server's.
func TestUploadCutByCaller(t *testing.T) {
	seen := make(chan error, 1)
	s := &fasthttp.Server{StreamRequestBody: true, Handler: func(c *fasthttp.RequestCtx) {
		b, err := io.ReadAll(c.RequestBodyStream())
		// A stream of fasthttp's server ends without an error when a body of a known length is cut.
		if n := c.Request.Header.ContentLength(); n >= 0 && len(b) < n {
			err = io.ErrUnexpectedEOF
		}
		seen <- err
	}}
	p := newPool(t, Options{Addr: listen(t, func(_ int, c net.Conn) { _ = s.ServeConn(c) })})
	for _, size := range []int{100 << 10, -1} {
		req := get("/")
		req.Header.SetMethod(fasthttp.MethodPost)
		cut := iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 100<<10))))
		req.SetBodyStream(io.MultiReader(strings.NewReader(strings.Repeat("y", 20<<10)), cut), size)
		_, r := p.DoStream(context.Background(), soon(), req, &fasthttp.Response{})
		require.Equal(t, retry.Unknown, r.Outcome)
		require.Equal(t, admit.EndCancelled, r.End)
		require.Error(t, <-seen)
	}
}

// The caller sees the server's refusal. The server answers and closes before it has read the body, so that
// writing fails; the answer that is already there says more than the failed write.
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
	s, r := p.DoStream(context.Background(), soon(), req, &fasthttp.Response{})
	require.Nil(t, s)
	require.Equal(t, retry.NotRun, r.Outcome, "%v", r.Err)
	require.Equal(t, admit.EndRefused, r.End)
}
