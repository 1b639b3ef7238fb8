package conns

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/retry"
)

// Guards against a response with a head that can't be read for certain and passes for a whole one, with or without a part of its body.
func TestUncertainHeadIsNoResponse(t *testing.T) {
	const rest = "\r\n\r\n4\r\nmore\r\n0\r\n\r\n"
	for name, head := range map[string]string{
		"two lengths":                      okHead + "Content-Length: 4\r\nContent-Length: 17",
		"two lengths, other case":          okHead + "content-length: 4\r\nCONTENT-LENGTH: 17",
		"list of lengths":                  okHead + "Content-Length: 4, 17",
		"length with a plus":               okHead + "Content-Length: +4",
		"length with a minus":              okHead + "Content-Length: -4",
		"length with a space":              okHead + "Content-Length: 1 4",
		"length over two lines":            okHead + "Content-Length: 1\r\n 4",
		"length in hex":                    okHead + "Content-Length: 0x4",
		"length after a tab in its name":   okHead + "Content-\tLength: 4",
		"length with a letter":             okHead + "Content-Length: 4a",
		"length with a fraction":           okHead + "Content-Length: 4.0",
		"length with a NUL":                okHead + "Content-Length: 4\x00",
		"empty length":                     okHead + "Content-Length:",
		"length over 64 bits":              okHead + "Content-Length: 18446744073709551620",
		"length of 2^63":                   okHead + "Content-Length: 9223372036854775808",
		"length of many digits":            okHead + "Content-Length: 100000000000000000000000000000000004",
		"length without a colon":           okHead + "Content-Length 4",
		"length after an empty name":       okHead + ": a\r\nContent-Length: 4",
		"length with a space in its name":  okHead + "Content- Length: 4",
		"coding with a space in its name":  okHead + "Transfer Encoding: chunked",
		"length after a carriage return":   okHead + "X: a\rContent-Length: 4",
		"garbage line":                     okHead + "\x01\x02\x03\r\nContent-Length: 4",
		"garbage line with a colon":        okHead + "\x80a: b\r\nContent-Length: 4",
		"NUL in a name":                    okHead + "X\x00: a\r\nContent-Length: 4",
		"NUL in a value":                   okHead + "X: a\x00b\r\nContent-Length: 4",
		"NUL in the status line":           "HTTP/1.1 200 O\x00K\r\nContent-Length: 4",
		"folded first line":                okHead + " Content-Length: 4",
		"other coding":                     okHead + "Transfer-Encoding: gzip",
		"codings":                          okHead + "Transfer-Encoding: gzip, chunked",
		"coding twice":                     okHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
		"coding without a value":           okHead + "Transfer-Encoding:",
		"coding of http/1.0":               "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked",
		"coding of http/1.0, other case":   "HTTP/1.0 200 OK\r\nX: a\r\ntransfer-encoding : chunked",
		"coding of http/1.0 with a length": "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4",
		"status of two digits":             "HTTP/1.1 20\r\nContent-Length: 4",
		"status of four digits":            "HTTP/1.1 2000 OK\r\nContent-Length: 4",
		"status 000":                       "HTTP/1.1 000 OK\r\nContent-Length: 4",
		"status 000 without a reason":      "HTTP/1.1 000\r\nContent-Length: 4",
		"status 099":                       "HTTP/1.1 099 OK\r\nContent-Length: 4",
		"status 600":                       "HTTP/1.1 600 OK\r\nContent-Length: 4",
		"status 999":                       "HTTP/1.1 999 OK\r\nContent-Length: 4",
		"status 101, then an answer":       "HTTP/1.1 101 Switching Protocols\r\n\r\n" + okHead + "Content-Length: 4",
		"status 101 behind status 100":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 101 X\r\n\r\n" + okHead + "Content-Length: 4",
		"status -20":                       "HTTP/1.1 -20 OK\r\nContent-Length: 4",
		"no status":                        "HTTP/1.1\r\nContent-Length: 4",
		"second status line":               okHead + "Content-Le" + okHead + "Content-Length: 4",
		"other protocol":                   "ICY 200 OK\r\nContent-Length: 4",
		"http/1.1.1":                       "HTTP/1.1.1 200 OK\r\nContent-Length: 4",
	} {
		t.Run(name, func(t *testing.T) {
			for _, first := range []int{len(head + rest), len(head), len(head) / 2, 1} {
				a := listen(t, func(_ int, c net.Conn) {
					readRequest(c)
					_, _ = io.WriteString(c, (head + rest)[:first])
					time.Sleep(time.Millisecond)
					_, _ = io.WriteString(c, (head + rest)[first:])
				})
				p := newPool(t, Options{Addr: a, CloseDelimited: true, DialTimeout: 5 * time.Second})
				for range 2 {
					r, body := do(p, cutCall(), "/")
					require.Equal(t, retry.Unknown, r.Outcome, "passed on: %q", body)
					require.Error(t, r.Err)
					require.Zero(t, p.Stats().Open)
				}
				_, r := p.DoStream(t.Context(), cutCall(), get("/"), &fasthttp.Response{})
				require.Equal(t, retry.Unknown, r.Outcome)
			}
		})
	}
}

// Guards against refusing responses whose heads are unusual and can be read for certain.
func TestUnusualHeads(t *testing.T) {
	const chunks = "4\r\nmore\r\n0\r\n\r\n"
	for name, x := range map[string]struct{ response, body string }{
		"space before the colon":       {okHead + "Content-Length : 4\r\n\r\nmore", "more"},
		"spaces around the length":     {okHead + "Content-Length: \t 4 \t\r\n\r\nmore", "more"},
		"zeros before the length":      {okHead + "Content-Length: 0004\r\n\r\nmore", "more"},
		"coding and length":            {okHead + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, "more"},
		"length and coding":            {okHead + "Transfer-Encoding: Chunked\r\nContent-Length: 2\r\n\r\n" + chunks, "more"},
		"no reason":                    {"HTTP/1.1 200\r\nContent-Length: 4\r\n\r\nmore", "more"},
		"empty lines first":            {"\r\n\r\n" + okHead + "Content-Length: 4\r\n\r\nmore", "more"},
		"line feeds":                   {"HTTP/1.1 200 OK\nContent-Length: 4\n\r\n\r\nmore", "\r\nmo"},
		"folded line":                  {okHead + "X: a\r\n  Content-Length: 2\r\nContent-Length: 4\r\n\r\nmore", "more"},
		"http/1.0, coding in a value":  {"HTTP/1.0 200 OK\r\nX: Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\nmore", "more"},
		"http/1.0, coding in the body": {"HTTP/1.0 200 OK\r\nX: a\r\n\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\n"},
		"status of no standard":        {"HTTP/1.1 299 X\r\nContent-Length: 4\r\n\r\nmore", "more"},
	} {
		t.Run(name, func(t *testing.T) {
			for _, first := range []int{len(x.response), len(x.response) / 2, 1} {
				a := listen(t, func(_ int, c net.Conn) {
					readRequest(c)
					_, _ = io.WriteString(c, x.response[:first])
					time.Sleep(time.Millisecond)
					_, _ = io.WriteString(c, x.response[first:])
				})
				r, body := do(newPool(t, Options{Addr: a, CloseDelimited: true, DialTimeout: 5 * time.Second}), cutCall(), "/")
				require.NoError(t, r.Err)
				require.Equal(t, x.body, body)
			}
		})
	}
}

// Guards against a reset that looks like the end of the data when the connection is read again.
func TestResetIsReadAgain(t *testing.T) {
	p := newPool(t, Options{Addr: listen(t, func(_ int, c net.Conn) {
		readRequest(c)
		reset(c)
	})})
	c, err := p.dial(t.Context(), time.Now().Add(time.Second))
	require.NoError(t, err)
	defer c.close()
	_, err = io.WriteString(c, "GET")
	require.NoError(t, err)
	for range 2 {
		_, err := c.br.Peek(1)
		require.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

// Guards against a head that a server breaks off in the middle and continues with the response to another request: the caller would get
// that response's body under its own id.
func TestHeadContinuedByOtherResponseIsNoResponse(t *testing.T) {
	const other = okHead + "Heatherrouter-Request-Id: other\r\nContent-Length: 5\r\n\r\nother"
	for _, begun := range []string{okHead + "Heatherrouter-Request-Id: own\r\nX: ", okHead + "Heatherrouter-Request-Id: own\r\nX: a", okHead + "X: "} {
		for name, streamed := range map[string]bool{"whole": false, "streamed": true} {
			t.Run(name+" "+begun, func(t *testing.T) {
				a := listen(t, func(_ int, c net.Conn) {
					readRequest(c)
					_, _ = io.WriteString(c, begun+other)
				})
				p := newPool(t, Options{Addr: a, CloseDelimited: true, DialTimeout: 5 * time.Second})
				req, resp := get("/"), &fasthttp.Response{}
				req.Header.Set(HeaderRequestID, "own")
				var r Result
				if streamed {
					_, r = p.DoStream(t.Context(), cutCall(), req, resp)
				} else {
					r = p.Do(t.Context(), cutCall(), req, resp)
				}
				require.Equal(t, retry.Unknown, r.Outcome, "passed on: %q", resp.Body())
				require.ErrorIs(t, r.Err, ErrIDMismatch)
				require.Zero(t, p.Stats().Open)
			})
		}
	}
}
