package server_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"heatherrouter/io/fakes/server"
)

// BenchmarkDoNothing measures the way of a request that takes no time, by bare keep-alive connections, so that the
// client's own cost is small.
func BenchmarkDoNothing(b *testing.B) {
	for _, noLog := range []bool{false, true} {
		name := map[bool]string{false: "log", true: "no-log"}[noLog]
		b.Run(name, func(b *testing.B) {
			s, err := server.New(server.Options{Name: "rooster/a", Slots: 64, NoLog: noLog})
			require.NoError(b, err)
			defer s.Close()
			request := []byte("GET /rooster/groep-1 HTTP/1.1\r\nHost: a\r\nHeatherrouter-Request-Id: 0123456789abcdef\r\n" +
				"Heatherrouter-Key: groep-1\r\nHeatherrouter-Epoch: 3\r\nHeatherrouter-Shard: 17\r\n\r\n")
			var size atomic.Int64
			size.Store(int64(measure(b, s.Addr(), request)))
			b.SetParallelism(6)
			b.ResetTimer()
			b.RunParallel(func(p *testing.PB) {
				c, err := net.Dial("tcp", s.Addr())
				if err != nil {
					b.Error(err)
					return
				}
				defer c.Close()
				answer := make([]byte, size.Load())
				for p.Next() {
					_, _ = c.Write(request)
					if _, err := io.ReadFull(c, answer); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
		})
	}
}

// measure returns the size of the whole answer, which is the same for every request.
func measure(b *testing.B, addr string, request []byte) int {
	c, err := net.Dial("tcp", addr)
	require.NoError(b, err)
	defer c.Close()
	_, err = c.Write(request)
	require.NoError(b, err)
	r := bufio.NewReader(c)
	n := 0
	length := 0
	for {
		l, err := r.ReadString('\n')
		require.NoError(b, err)
		n += len(l)
		if l == "\r\n" {
			return n + length
		}
		if x, ok := contentLength(l); ok {
			length = x
		}
	}
}

func contentLength(line string) (int, bool) {
	var n int
	_, err := fmt.Sscanf(line, "Content-Length: %d", &n)
	return n, err == nil
}
