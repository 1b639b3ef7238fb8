package send

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/site"
)

// Guards against a server that is taken for warm, or for cold, because of bytes that are no response to a health check.
func TestNoAnswerSaysNothingOfHealth(t *testing.T) {
	for _, body := range []string{"cold", "warm"} {
		for _, v := range []string{"000", "20", "2000", "099", "600", "999", "2 0", "abc", "", "100", "101", "103"} {
			t.Run(body+" "+v, func(t *testing.T) {
				a := &site.Server{ID: "a", Addr: listen(t, func(c net.Conn, _ *fasthttp.Request) bool {
					_, err := io.WriteString(c, "HTTP/1.1 "+v+" OK\r\nContent-Length: 4\r\n\r\n"+body)
					return err == nil
				})}
				s := newTestSender(t, a)
				s.o.Health = testHealth{}
				h, answered := s.health(t.Context(), s.backend(a, false))
				require.False(t, answered)
				require.Zero(t, h)
			})
		}
	}
}

// Guards against a daemon that runs out of memory because some hundred servers answer health checks without end.
func TestEndlessResponsesToHealthChecksTakeLittleMemory(t *testing.T) {
	const servers, most = 200, 48 << 20
	filler := strings.Repeat("a", 16<<10)
	for name, x := range map[string]struct{ start, more string }{
		"header":        {"HTTP/1.1 200 OK\r\nA: ", filler},
		"stated length": {"HTTP/1.1 200 OK\r\nContent-Length: 32000000\r\n\r\n", filler},
		"chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4000\r\n" + filler + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestSender(t)
			s.o.Health = testHealth{}
			s.o.View.Snapshot().Config.Services["s"].HealthPath = "/health"
			var l []*backend
			for i := range servers {
				y := &site.Server{ID: "a", Service: "s", Born: int64(i), Addr: listen(t, func(c net.Conn, _ *fasthttp.Request) bool {
					_, err := fmt.Fprint(c, x.start)
					for err == nil {
						_, err = fmt.Fprint(c, x.more)
					}
					return false
				})}
				l = append(l, s.backend(y, false))
			}
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			before, peak := m.HeapAlloc, m.HeapAlloc
			var w sync.WaitGroup
			for _, b := range l {
				w.Go(func() {
					if _, answered := s.health(t.Context(), b); answered {
						t.Error("answered")
					}
				})
			}
			ended := make(chan struct{})
			go func() { w.Wait(); close(ended) }()
			for running := true; running; {
				select {
				case <-ended:
					running = false
				case <-time.After(5 * time.Millisecond):
				}
				runtime.ReadMemStats(&m)
				peak = max(peak, m.HeapAlloc)
			}
			t.Logf("peak %d MiB", (peak-before)>>20)
			require.Less(t, peak-before, uint64(most))
		})
	}
}
