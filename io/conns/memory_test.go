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
	"heatherrouter/core/buffer"
	"heatherrouter/core/retry"
	"heatherrouter/io/clock"
	"heatherrouter/io/memory"
)

func newMemory(limit buffer.Bytes) *memory.Budget {
	return memory.New(memory.Options{Limit: limit, Clock: clock.New(), Refused: func(int) {}})
}

// bodies returns responses with a body of the given size: of known length, without a length, and in chunks.
func bodies(size int) []string {
	body := strings.Repeat("a", size)
	return []string{
		fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", okHead, size, body), okHead + "\r\n" + body,
		fmt.Sprintf("%s%x\r\n%s\r\n0\r\n\r\n", chunkedHead, size, body),
	}
}

// Guards against responses that take memory that is not reserved, and against reservations that are lost with a failed exchange. A body that
// doesn't fit ends its exchange, which doesn't count against the server; one of up to 16 KiB is read in any case.
func TestMemoryOfResponses(t *testing.T) {
	for _, x := range []struct {
		name         string
		limit        buffer.Bytes
		size, others int // bytes of the body, and held by other requests
		fits         bool
		held         int // at most, after the exchange
	}{
		{"fits", 1 << 20, 300_000, 0, true, 512 << 10},
		{"small", 1 << 20, 100, 0, true, 4 << 10},
		{"empty", 1 << 20, 0, 0, true, 4 << 10},
		{"does not fit", 1 << 20, 300_000, 800_000, false, 0},
		{"a thousandth of the limit, nothing free", 1 << 20, 1000, 1 << 20, true, 1000},
		{"small, nothing free", 1 << 20, 2000, 1 << 20, true, 0},
		{"16 KiB, nothing free", 1 << 20, memory.MaxUnreserved, 1 << 20, true, 0},
		{"more than 16 KiB, nothing free", 1 << 20, memory.MaxUnreserved + 1, 1 << 20, false, 0},
		{"no limit", 0, 300_000, 0, true, 0},
	} {
		for i, response := range bodies(x.size) {
			t.Run(fmt.Sprint(x.name, i), func(t *testing.T) {
				m := &memory.Reservation{}
				if x.limit > 0 {
					m.Budget = newMemory(x.limit)
				}
				others := *m
				require.NoError(t, others.ReserveRequest(x.others))
				p := newPool(t, Options{CloseDelimited: true, Addr: listen(t, func(_ int, c net.Conn) {
					readRequest(c)
					fmt.Fprint(c, response)
				})})
				resp := &fasthttp.Response{}
				r := p.Do(t.Context(), Call{Deadline: time.Now().Add(10 * time.Second), Memory: m}, get("/"), resp)
				require.Equal(t, m.Held(), r.Reserved)
				require.LessOrEqual(t, r.Reserved, x.held)
				if !x.fits {
					require.ErrorIs(t, r.Err, memory.ErrNoMemory)
					require.Equal(t, retry.Unknown, r.Outcome)
					require.Equal(t, admit.EndCancelled, r.End)
					require.Zero(t, p.Stats().Open)
				} else {
					require.NoError(t, r.Err)
					require.Len(t, resp.Body(), x.size)
				}
				if x.others == 0 && x.limit > 0 {
					require.GreaterOrEqual(t, m.Held(), x.size)
				}
				others.ReleaseAll()
				m.ReleaseAll()
				require.Zero(t, m.Budget.State().Held)
			})
		}
	}
}

// Guards against reservations that are lost with responses that break off.
func TestMemoryOfTruncatedResponses(t *testing.T) {
	for _, response := range bodies(300_000) {
		for _, size := range []int{len(response) / 2, len(response) - 1} {
			m := &memory.Reservation{Budget: newMemory(1 << 20)}
			p := newPool(t, Options{Addr: listen(t, func(_ int, c net.Conn) {
				readRequest(c)
				fmt.Fprint(c, response[:size])
			})})
			r := p.Do(t.Context(), Call{Deadline: time.Now().Add(10 * time.Second), Memory: m}, get("/"), &fasthttp.Response{})
			require.Equal(t, retry.Unknown, r.Outcome)
			require.Zero(t, m.Held())
			require.Zero(t, m.Budget.State().Held)
		}
	}
}
