package conns

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

func echoServer(b *testing.B) Options {
	s := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) { c.SetBodyString("0123456789abcdef") }}
	return Options{Addr: listen(b, func(_ int, c net.Conn) { _ = s.ServeConn(c) })}
}

func BenchmarkDo(b *testing.B) {
	p := newPool(b, echoServer(b))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	run := func(b *testing.B, more func() bool) {
		req, resp := get("/tabelid/1"), &fasthttp.Response{}
		for more() {
			now := time.Now()
			r := p.Do(ctx, Call{Deadline: now.Add(time.Second), SuspectAt: now.Add(100 * time.Millisecond)}, req, resp)
			require.NoError(b, r.Err)
		}
	}
	b.Run("serial", func(b *testing.B) {
		b.ReportAllocs()
		run(b, b.Loop)
	})
	b.Run("parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) { run(b, pb.Next) })
	})
}

// BenchmarkHostClient measures the same exchange with fasthttp's own client, which does not report certain outcomes.
func BenchmarkHostClient(b *testing.B) {
	c := &fasthttp.HostClient{Addr: echoServer(b).Addr.String()}
	req, resp := get("/tabelid/1"), &fasthttp.Response{}
	b.ReportAllocs()
	for b.Loop() {
		require.NoError(b, c.DoDeadline(req, resp, time.Now().Add(time.Second)))
	}
}
