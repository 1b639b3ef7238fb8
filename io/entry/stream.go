package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrouter/core/mono"
	"heatherrouter/core/retry"
	"heatherrouter/io/peer"
	"heatherrouter/io/wire"
)

const headLimit = 15 * time.Second // from the end of the request's body to the head of the answer

// answer is the home's answer with a streamed body.
type answer struct {
	head *wire.ExchangeAnswer
	at   mono.Time // when the head was sent
	body io.Reader // io.EOF only at the whole body's end
	end  func()    // must be called; it gives up what has not been read
}

// stream answers a request whose bodies may be large: they are passed on as they come, and the request is sent
// again only when it certainly did not run and nothing of its body has been read.
func (e *Entry) stream(x *fasthttp.RequestCtx, r *request) retry.Finish {
	head := encodeHead(x, r)
	body := x.RequestBodyStream()
	head.BodyFollows = body != nil && x.Request.Header.ContentLength() != 0
	head.BodySize = int64(x.Request.Header.ContentLength())
	act := e.came(r)
	for {
		switch a := act.(type) {
		case retry.Finish:
			e.writeFinal(x, r, a)
			return a
		case retry.Wait:
			time.Sleep(min(a.Until.Sub(e.o.Clock.Now()), headLimit))
			_, others, room := e.pick(r)
			act = e.next(r, retry.Woken{Available: room, OtherServer: others})
		case retry.Send:
			b := &callerBody{r: body, left: head.GetBodySize()}
			y, v := e.openOnce(r, head, b)
			if v.Outcome == retry.Answered {
				e.passBody(x, r, y)
				return retry.Finish{Outcome: retry.Answered, Reason: retry.ReasonAnswered}
			}
			if b.read && v.Outcome != retry.Unknown {
				// It did not run, but its body is gone: only the caller can send it again.
				f := retry.Finish{Outcome: retry.NotRun, Reason: retry.ReasonNoRoom, RetryAfter: max(v.RetryAfter, e.o.Clock.Now())}
				e.writeFinal(x, r, f)
				return f
			}
			_, v.OtherServer, _ = e.pick(r)
			act = e.next(r, v)
		}
	}
}

// callerBody is the caller's body on its way. It notes whether any of it was read, and reports a body that ends
// before its length: the library takes one that the caller cuts off for a whole one.
type callerBody struct {
	r    io.Reader
	left int64 // bytes to come; negative when not known
	read bool
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	if b.r == nil {
		return 0, io.EOF
	}
	b.read = true
	n, err := b.r.Read(p)
	if b.left >= 0 {
		b.left -= int64(n)
	}
	if errors.Is(err, io.EOF) && b.left > 0 {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// openOnce makes one send up to the head of the answer.
func (e *Entry) openOnce(r *request, head *wire.Exchange, body io.Reader) (*answer, retry.SendEnded) {
	t, ok := e.nextTarget(r)
	if !ok {
		return nil, retry.SendEnded{Outcome: retry.NotRun}
	}
	r.tried.add(t)
	asOf := e.o.Clock.SinceBoot()
	h := e.address(r, head, t)
	var a *answer
	var err error
	if t.daemon == e.o.Self {
		a, err = e.openLocal(h, r.entry.Deadline(), body)
	} else {
		a, err = e.openPeer(t, h, asOf, body)
	}
	if err != nil {
		return nil, e.outcome(nil, 0, err)
	}
	v := e.outcome(a.head, a.at, nil)
	e.loads.of(t.server).take(a.at, a.head.GetReport())
	if v.Outcome != retry.Answered {
		a.end()
		return nil, v
	}
	return a, v
}

func (e *Entry) openPeer(t target, h *wire.Exchange, asOf time.Duration, body io.Reader) (*answer, error) {
	c, cancel := context.WithCancel(context.Background())
	opened := e.o.Clock.Now()
	x, err := e.o.Peers.OpenExchange(c, t.daemon, h, asOf)
	if err != nil {
		cancel()
		return nil, err
	}
	go sendBody(x, h, body)
	head, err := x.ReadResponse()
	if err != nil {
		x.Abort()
		cancel()
		return nil, err
	}
	return &answer{head: head, at: e.o.Clock.SentAt(x.SentAt, opened), body: x, end: func() { x.Abort(); cancel() }}, nil
}

// sendBody passes the caller's body on. One that the caller cuts off is cut for the home too.
func sendBody(x *peer.Exchange, h *wire.Exchange, body io.Reader) {
	if h.GetBodyFollows() {
		if _, err := io.Copy(struct{ io.Writer }{x}, body); err != nil {
			x.Abort()
			return
		}
	}
	_ = x.Close() // fails only when the peer has gone, which ReadAnswer reports
}

// localStream joins the entry and the home of one daemon.
type localStream struct {
	body io.Reader
	head chan *wire.ExchangeAnswer
	out  *io.PipeWriter
}

var errCut = errors.New("body cut")

func (l *localStream) Read(p []byte) (int, error)  { return l.body.Read(p) }
func (l *localStream) Write(p []byte) (int, error) { return l.out.Write(p) }
func (l *localStream) Close() error                { return l.out.Close() }
func (l *localStream) Abort()                      { _ = l.out.CloseWithError(errCut) }

func (l *localStream) WriteResponse(a *wire.ExchangeAnswer) error {
	l.head <- a
	return nil
}

func (e *Entry) openLocal(h *wire.Exchange, deadline mono.Time, body io.Reader) (*answer, error) {
	c, cancel := context.WithCancel(context.Background())
	r, w := io.Pipe()
	l := &localStream{body: body, head: make(chan *wire.ExchangeAnswer, 1), out: w}
	go func() {
		e.o.Homes.Stream(c, h, deadline, l)
		_ = w.CloseWithError(errCut) // no effect after a whole body
		close(l.head)
	}()
	a, ok := <-l.head
	if !ok {
		cancel()
		return nil, &peer.Error{Sent: true, Err: errCut}
	}
	return &answer{head: a, at: e.o.Clock.Now(), body: r, end: func() { _ = r.CloseWithError(errCut); cancel() }}, nil
}

// passBody hands the answer's body to the caller. If it ends early the library closes the connection without
// the end of the body, so that the caller sees it cut.
func (e *Entry) passBody(x *fasthttp.RequestCtx, r *request, a *answer) {
	writeHead(x, a.head, r.id)
	if !a.head.GetBodyFollows() {
		x.Response.SetBodyRaw(a.head.GetBody())
		a.end()
		return
	}
	e.open.Add(1) // a download counts as open until its last byte
	size := int(a.head.GetBodySize())
	x.Response.SetBodyStream(&bodyStream{r: a.body, end: func() { a.end(); e.open.Add(-1) }}, size)
}

// bodyStream ends the answer once its reader is done with it.
type bodyStream struct {
	r   io.Reader
	end func()
}

func (b *bodyStream) Read(p []byte) (int, error) { return b.r.Read(p) }

// Close implements io.Closer; the library calls it after the last read.
func (b *bodyStream) Close() error {
	if b.end != nil {
		b.end()
		b.end = nil
	}
	return nil
}
