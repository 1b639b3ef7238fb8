package entry_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"heatherrouter/core/config"
	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/part"
	"heatherrouter/io/clock"
	"heatherrouter/io/entry"
	"heatherrouter/io/peer"
	"heatherrouter/io/rowcfg"
	"heatherrouter/io/rows"
	"heatherrouter/io/view"
	"heatherrouter/io/wire"
)

const file = `name = "plain"
region = "r"

[[kinds]]
name = "read"
methods = ["GET"]
path = "/read/*"
idempotent = true
timeout = "1s"

[[kinds]]
name = "swap"
methods = ["POST"]
path = "/swap"
timeout = "1s"

[[kinds]]
name = "upload"
methods = ["POST"]
path = "/upload"
streamed = true
timeout = "5s"

[[kinds]]
name = "volume"
methods = ["GET"]
path = "/volume/*"
idempotent = true
streamed = true
timeout = "5s"

[[servers]]
name = "s1"
address = "127.0.0.1:9"
domain = "d"
`

const keyedFile = `name = "keyed"
region = "r"
shards = 8

[key]
header = "Key"

[[kinds]]
name = "read"
methods = ["GET"]
path = "/**"
idempotent = true
timeout = "1s"

[[servers]]
name = "s1"
address = "127.0.0.1:10"
domain = "d"
`

// homes is a stand-in for the homes of the same daemon; each kind of request has its own answer.
type homes struct {
	ran chan *wire.Exchange
}

func (h *homes) Do(_ context.Context, x *wire.Exchange, _ mono.Time) *wire.ExchangeAnswer {
	h.ran <- x
	a := &wire.ExchangeAnswer{Outcome: wire.Outcome_OUTCOME_ANSWERED, Status: 200, Body: []byte(x.GetRequestId())}
	switch {
	case strings.Contains(string(x.GetUri()), "refused"):
		return &wire.ExchangeAnswer{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: "queue-full", RetryAfterMs: 2500}
	case x.GetKind() == "swap":
		return &wire.ExchangeAnswer{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: "timeout"}
	}
	return a
}

func (h *homes) Stream(_ context.Context, x *wire.Exchange, _ mono.Time, s entry.Stream) {
	h.ran <- x
	_, err := io.Copy(io.Discard, s)
	if err != nil {
		_ = s.WriteResponse(&wire.ExchangeAnswer{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: err.Error()})
		return
	}
	_ = s.WriteResponse(&wire.ExchangeAnswer{Outcome: wire.Outcome_OUTCOME_ANSWERED, Status: 200, BodyFollows: true, BodySize: 1000})
	_, _ = s.Write(make([]byte, 600))
	if strings.Contains(string(x.GetUri()), "cut") {
		s.Abort()
		return
	}
	_, _ = s.Write(make([]byte, 400))
	_ = s.Close()
}

type noPeers struct{}

func (noPeers) Call(context.Context, ident.Daemon, *wire.Call) (*wire.Reply, error) {
	return nil, &peer.Error{Err: io.EOF}
}

func (noPeers) OpenExchange(context.Context, ident.Daemon, *wire.Exchange, time.Duration) (*peer.Exchange, error) {
	return nil, &peer.Error{Err: io.EOF}
}

func (noPeers) Unreachable(ident.Daemon) bool { return false }

type noCounter struct{}

func (noCounter) RecordAnswer(ident.Service, string, string, string, time.Duration) {}

// start serves the two services, all homes being on this daemon.
func start(t *testing.T) (string, *homes) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	v := view.New(&log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	v.Take(configDoc(t))
	for _, s := range []ident.Service{"plain", "keyed"} {
		v.Take(partDoc(t, s))
	}
	h := &homes{ran: make(chan *wire.Exchange, 100)}
	e := entry.New(entry.Options{
		Self: "h01", Listen: l, View: v, Homes: h, Peers: noPeers{}, Clock: clock.New(), Counter: noCounter{},
		Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Serve(context.Background())
	}()
	t.Cleanup(func() {
		_ = e.Shutdown(context.Background())
		<-done
	})
	return l.Addr().String(), h
}

func configDoc(t *testing.T) *docs.Doc {
	d := docs.New(ident.ConfigDoc)
	d.Rev = 1
	for n, f := range map[ident.Service]string{"plain": file, "keyed": keyedFile} {
		_, found := config.Parse(string(n), []byte(f))
		require.Empty(t, found)
		b, err := rowcfg.EncodeService(string(n), []byte(f))
		require.NoError(t, err)
		d.Rows[config.ServiceRow(n)] = docs.Row{Rev: 1, Body: b}
	}
	return d
}

func partDoc(t *testing.T, s ident.Service) *docs.Doc {
	id := ident.ServerID(s, "s1")
	changes := []part.Change{
		part.SetWitnesses{Witnesses: part.Witnesses{Current: []ident.Daemon{"h01"}}},
		part.SetServer{Server: part.Server{ID: id, Home: "h01", Epoch: 1}},
	}
	if s == "keyed" {
		o := make([]part.Ownership, 8)
		for i := range o {
			o[i] = part.Ownership{Server: id, Epoch: 1}
		}
		changes = append(changes, part.SetShards{Owners: o})
	}
	d := docs.New(ident.AssignmentsDoc(s))
	d.Rev = 1
	for _, c := range rows.Encode(changes) {
		d.Rows[c.Row] = docs.Row{Rev: 1, Body: c.Body}
	}
	return d
}

type answer struct {
	status int
	header http.Header
	body   []byte
	err    error // of reading the body
}

// raw sends bytes as they are and returns the answer.
func raw(t *testing.T, addr, text string, closeWrite bool) answer {
	c, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(netip.MustParseAddrPort(addr)))
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	if closeWrite {
		require.NoError(t, c.CloseWrite())
	}
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return answer{status: r.StatusCode, header: r.Header, body: b, err: err}
}

// Whatever is wrong with a request, its caller learns at once what, by a status and a reason for programs, and
// nothing of it reaches a backend server.
func TestBadInput(t *testing.T) {
	addr, h := start(t)
	tests := []struct {
		name, text, reason string
		cut                bool
		status             int
	}{
		{"unknown service", "GET /nothing/x HTTP/1.1\r\nHost: h\r\n\r\n", "unknown-service", false, 404},
		{"unknown path", "GET /plain/nothing HTTP/1.1\r\nHost: h\r\n\r\n", "unknown-path", false, 404},
		{"wrong method", "DELETE /plain/swap HTTP/1.1\r\nHost: h\r\n\r\n", "wrong-method", false, 405},
		{"no key", "GET /keyed/x HTTP/1.1\r\nHost: h\r\n\r\n", "no-key", false, 400},
		{"malformed header", "GET /plain/read/x HTTP/1.1\r\nHost: h\r\nBad Name : x\r\n\r\n", "malformed-request", false, 400},
		{"no request", "\x16\x03\x01 nothing\r\n\r\n", "malformed-request", false, 400},
		{"header too large", "GET /plain/read/x HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 1<<16) + "\r\n\r\n", "header-too-large", false, 431},
		{"body too large", "POST /plain/swap HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n" + strings.Repeat("a", 2000000), "body-too-large", false, 413},
		{"body cut", "POST /plain/swap HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\nhalf", "body-cut", true, 400},
		{"chunked body cut", "POST /plain/swap HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", "body-cut", true, 400},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := raw(t, addr, tt.text, tt.cut)
			require.Equal(t, tt.status, r.status)
			require.Equal(t, tt.reason, r.header.Get("Heatherrouter-Reason"))
			require.Equal(t, "not-run", r.header.Get("Heatherrouter-Outcome"))
			require.Empty(t, h.ran, "nothing may run")
		})
	}
}

// A caller whose swap was sent and not answered must learn that it may have run; one whose request was refused must
// learn that it did not, and when to come back. Both answers come at once.
func TestOutcomes(t *testing.T) {
	addr, h := start(t)
	r := raw(t, addr, "POST /plain/swap HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", false)
	require.Equal(t, http.StatusGatewayTimeout, r.status)
	require.Equal(t, "unknown", r.header.Get("Heatherrouter-Outcome"))
	require.Empty(t, r.header.Get("Retry-After"))
	require.Len(t, h.ran, 1, "not sent again")

	begun := time.Now()
	r = raw(t, addr, "GET /plain/read/refused HTTP/1.1\r\nHost: h\r\n\r\n", false)
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "not-run", r.header.Get("Heatherrouter-Outcome"))
	require.Equal(t, "3", r.header.Get("Retry-After"))
	require.Less(t, time.Since(begun), 500*time.Millisecond)
}

// The backend server breaks off in the middle of a volume. The caller must not be able to take the part for the
// whole: it sees fewer bytes than were announced.
func TestCutVolume(t *testing.T) {
	addr, _ := start(t)
	r := raw(t, addr, "GET /plain/volume/whole HTTP/1.1\r\nHost: h\r\n\r\n", false)
	require.NoError(t, r.err)
	require.Len(t, r.body, 1000)

	x, err := http.Get("http://" + addr + "/plain/volume/cut")
	if err == nil { // the cut may also come before the head has been sent
		defer x.Body.Close()
		_, err = io.ReadAll(x.Body)
	}
	require.ErrorContains(t, err, "EOF")
}

// The caller breaks off in the middle of an upload. Either nothing of it is passed on, or the home sees a cut body;
// otherwise the backend server would store half a file as whole.
func TestCutUpload(t *testing.T) {
	addr, h := start(t)
	r := raw(t, addr, "POST /plain/upload HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\nhalf", true)
	require.Equal(t, "not-run", r.header.Get("Heatherrouter-Outcome"))
	require.Empty(t, h.ran)

	long := strings.Repeat("a", 100_000)
	for _, body := range []string{
		"Content-Length: 200000\r\n\r\n" + long,
		"Transfer-Encoding: chunked\r\n\r\n186a0\r\n" + long + "\r\n",
	} {
		r := raw(t, addr, "POST /plain/upload HTTP/1.1\r\nHost: h\r\n"+body, true)
		require.Equal(t, http.StatusGatewayTimeout, r.status)
		require.Equal(t, "unknown", r.header.Get("Heatherrouter-Outcome"))
		require.Len(t, h.ran, 1)
		<-h.ran
	}
}
