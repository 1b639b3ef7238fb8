package server

import (
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/ident"
	"heatherrouter/io/fakes"
)

// Reasons of refusals.
const (
	reasonDrain    = "draining"
	reasonCommand  = "on-command"
	reasonDeadline = "deadline-passed"
	reasonEpoch    = "older-epoch"
	reasonGrant    = "no-grant"
	reasonShed     = "overloaded"
)

// maxSkip is how large a body is read only to keep the connection.
const maxSkip = 64 << 10

// peekEvery is how often work looks whether its sender has gone.
const peekEvery = 5 * time.Millisecond

func formatIncarnation(i ident.Incarnation) string {
	return strconv.FormatUint(uint64(i), 10)
}

func (s *Server) handle(c *fasthttp.RequestCtx) {
	if bytes.HasPrefix(c.Path(), ownPrefix) {
		s.page(c)
		return
	}
	n := int(s.inFlight.Add(1))
	j, ok := s.admit(c, n)
	if !ok {
		s.inFlight.Add(-1)
		leaveUnanswered(c)
		return
	}
	c.Response.Header.Set(IncarnationHeader, j.tag)
	if j.refused != "" {
		s.inFlight.Add(-1)
		s.work.end(j.entry, fakes.NotRunOutcome, j.refused, j.deadline)
		refuse(c, j.refused)
		return
	}
	o, streamed := s.run(c, j)
	if !streamed {
		s.finish(j, o)
	}
}

func refuse(c *fasthttp.RequestCtx, reason string) {
	// A large body that isn't read leaves the connection unfit for another request.
	if n := c.Request.Header.ContentLength(); n < 0 || n > maxSkip {
		c.SetConnectionClose()
	} else {
		_ = c.PostBody()
	}
	c.Response.Header.Set(NotRunHeader, "1")
	c.Response.Header.Set(ReasonHeader, reason)
	c.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

// job is one admitted or refused request.
type job struct {
	entry    int    // in the log
	refused  string // the reason; empty when admitted
	tag      string
	deadline time.Time // zero for none
	takes    time.Duration
	fails    bool          // the server falls over
	resets   bool          // and says so by a reset
	life     chan struct{} // of the incarnation
	volume   *int64        // size of the large body that is asked for
	cutAt    int           // where it is cut; -1 for nowhere
}

// over reports whether the incarnation that took the job has ended.
func (j *job) over() bool {
	select {
	case <-j.life:
		return true
	default:
		return false
	}
}

// ended reports whether the incarnation that took the job has ended, or is about to: its connections break first.
func (s *Server) ended(j *job) bool { return s.conns.isDown() || j.over() }

// broken reports whether the server has reset the request's connection. Under s.mu the answer holds for the
// incarnation in force: a restart breaks all connections before it takes a new one.
func broken(c *fasthttp.RequestCtx) bool {
	x, ok := c.Conn().(*conn)
	return ok && x.broken.Load()
}

// admit decides about a request, which is the n-th inside. It reports false for one that ended with the incarnation
// that read it.
func (s *Server) admit(c *fasthttp.RequestCtx, n int) (job, bool) {
	h := &c.Request.Header
	now := time.Now()
	j := job{cutAt: -1}
	if ms := number(h.Peek(DeadlineHeader)); ms > 0 {
		j.deadline = time.UnixMilli(int64(ms))
	}
	epoch := ident.Epoch(number(h.Peek(EpochHeader)))

	s.mu.Lock()
	defer s.mu.Unlock()
	if broken(c) {
		return job{}, false
	}
	j.tag, j.life = s.tag, s.life
	j.refused = s.refusal(now, j.deadline, epoch, n)
	if s.work.on {
		j.entry = s.work.begin(fakes.Work{
			Server: s.opts.Name, Incarnation: s.incarnation, Epoch: epoch, Start: now.UnixNano(),
			Request: ident.Request(h.Peek(RequestHeader)), Key: string(h.Peek(KeyHeader)),
			Shard:  ident.Shard(number(h.Peek(ShardHeader))),
			Method: string(h.Method()), Path: string(c.Path()), Outcome: fakes.RunningOutcome,
		})
	}
	if j.refused != "" {
		return j, true
	}
	if s.opts.ChecksGrants && epoch > s.highest {
		s.highest, s.grantEnds = epoch, time.Time{}
	}
	if j.takes, j.fails = s.carry(now, n); j.fails {
		s.overloads++
		j.resets = s.overloads%2 == 0
	}
	if size, ok := volumeSize(c); ok {
		j.volume = &size
		if s.faults.CutBodies > 0 {
			s.faults.CutBodies--
			j.cutAt = s.faults.CutAt
		}
	}
	return j, true
}

// refusal returns why a request must not run, or nothing; it needs s.mu.
func (s *Server) refusal(now, deadline time.Time, epoch ident.Epoch, n int) string {
	switch {
	case s.faults.Drain:
		return reasonDrain
	case s.faults.Refuse > 0:
		s.faults.Refuse--
		return reasonCommand
	case !deadline.IsZero() && !now.Before(deadline):
		return reasonDeadline
	case s.opts.ChecksGrants && epoch < s.highest:
		return reasonEpoch
	case s.opts.ChecksGrants && epoch == 0:
		return reasonGrant
	case s.opts.ChecksGrants && epoch == s.highest && !s.grantEnds.IsZero() && !now.Before(s.grantEnds):
		return reasonGrant
	case s.opts.Sheds && n > 2*s.opts.Slots:
		return reasonShed
	}
	return ""
}

// run does the work; streamed means that a body goes on after it, which then finishes the job.
func (s *Server) run(c *fasthttp.RequestCtx, j job) (o fakes.Outcome, streamed bool) {
	size, sum, err := readBody(c)
	if err != nil {
		c.SetConnectionClose()
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return fakes.CancelledOutcome, false
	}
	if j.fails {
		c.SetConnectionClose()
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		if j.resets {
			leaveUnanswered(c)
		}
		return fakes.FailedOutcome, false
	}
	switch o := s.spend(c, j); o {
	case fakes.AnsweredOutcome:
	case fakes.ExpiredOutcome:
		c.SetStatusCode(fasthttp.StatusGatewayTimeout)
		s.answer(c, size, sum)
		return o, false
	default:
		leaveUnanswered(c)
		return o, false
	}
	if j.volume != nil {
		return fakes.AnsweredOutcome, s.volume(c, j, *j.volume)
	}
	s.answer(c, size, sum)
	return fakes.AnsweredOutcome, false
}

// leaveUnanswered ends the connection without an answer: an empty one would pass for that of finished work.
func leaveUnanswered(c *fasthttp.RequestCtx) {
	c.SetConnectionClose()
	c.HijackSetNoResponse(true)
	c.Hijack(resetAny)
}

func readBody(c *fasthttp.RequestCtx) (size int64, sum uint64, err error) {
	r := c.RequestBodyStream()
	if r == nil {
		b := c.PostBody()
		return int64(len(b)), xxhash.Sum64(b), nil
	}
	h := xxhash.New()
	size, err = io.Copy(h, r)
	return size, h.Sum64(), err
}

// spend takes the service time, and ends early when the deadline passes or the sender goes.
func (s *Server) spend(c *fasthttp.RequestCtx, j job) fakes.Outcome {
	x, _ := c.Conn().(*conn)
	for end := time.Now().Add(j.takes); j.takes > 0; {
		now := time.Now()
		left := end.Sub(now)
		if !j.deadline.IsZero() {
			if !now.Before(j.deadline) {
				return fakes.ExpiredOutcome
			}
			left = min(left, j.deadline.Sub(now))
		}
		if !now.Before(end) {
			break
		}
		select {
		case <-j.life:
			return fakes.FailedOutcome
		case <-time.After(min(left, peekEvery)):
		}
		s.gate.pass()
		if j.expired() {
			return fakes.ExpiredOutcome
		}
		if x != nil && x.gone() {
			if s.ended(&j) {
				return fakes.FailedOutcome
			}
			return fakes.CancelledOutcome
		}
	}
	s.gate.pass()
	if j.expired() {
		return fakes.ExpiredOutcome
	}
	return fakes.AnsweredOutcome
}

func (j *job) expired() bool {
	return !j.deadline.IsZero() && !time.Now().Before(j.deadline)
}

// finish ends a job that was not refused.
func (s *Server) finish(j job, o fakes.Outcome) {
	s.inFlight.Add(-1)
	s.work.end(j.entry, o, "", j.deadline)
	if o == fakes.AnsweredOutcome && s.opts.ColdWork > 0 {
		s.mu.Lock()
		s.done++
		s.mu.Unlock()
	}
}

// answer tells what was asked, so that a caller can see that the answer is the whole one to its own request.
func (s *Server) answer(c *fasthttp.RequestCtx, size int64, sum uint64) {
	h := &c.Request.Header
	b := make([]byte, 0, 256)
	b = append(b, `{"server":`...)
	b = strconv.AppendQuote(b, string(s.opts.Name))
	b = append(b, `,"request-id":`...)
	b = strconv.AppendQuote(b, string(h.Peek(RequestHeader)))
	b = append(b, `,"key":`...)
	b = strconv.AppendQuote(b, string(h.Peek(KeyHeader)))
	b = append(b, `,"path":`...)
	b = strconv.AppendQuote(b, string(c.Path()))
	b = append(b, `,"body-size":`...)
	b = strconv.AppendInt(b, size, 10)
	b = append(b, `,"body-hash":"`...)
	b = strconv.AppendUint(b, sum, 16)
	b = append(b, "\"}\n"...)
	c.SetContentType("application/json")
	c.SetBody(b)
}

// number reads a decimal header; anything else is 0.
func number(b []byte) uint64 {
	if len(b) == 0 {
		return 0
	}
	n, err := strconv.ParseUint(string(b), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
