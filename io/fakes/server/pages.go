package server

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrouter/core/ident"
)

var ownPrefix = []byte("/heatherrouter/")

// Grant is the body of a grant: work under an older epoch is refused from then on.
type Grant struct {
	Epoch   ident.Epoch `json:"epoch"`
	LeaseMS int         `json:"lease-ms,omitempty"` // lapses after it, by the server's clock; 0 for never
}

// Granted answers a grant; a status other than 200 goes with the highest epoch taken.
type Granted struct {
	Highest     ident.Epoch       `json:"highest"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

func (s *Server) page(c *fasthttp.RequestCtx) {
	s.gate.pass()
	s.mu.Lock()
	tag := s.tag
	s.mu.Unlock()
	c.Response.Header.Set(IncarnationHeader, tag)
	switch string(c.Path()) {
	case GrantPath:
		s.grant(c)
	case LoadPath:
		writeJSON(c, s.reported())
	case HealthPath:
		l := s.reported()
		if l.State == FallenState || l.State == DrainState {
			c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
		writeJSON(c, map[string]State{"state": l.State})
	default:
		c.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Server) grant(c *fasthttp.RequestCtx) {
	var g Grant
	err := json.Unmarshal(c.PostBody(), &g)
	if err != nil || !c.IsPost() || g.Epoch == 0 {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	a, ok := s.take(c, g)
	if !ok {
		c.SetStatusCode(fasthttp.StatusConflict)
	}
	writeJSON(c, a)
}

func (s *Server) take(c *fasthttp.RequestCtx, g Grant) (Granted, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := g.Epoch >= s.highest && !broken(c)
	if ok {
		s.highest, s.grantEnds = g.Epoch, time.Time{}
		if g.LeaseMS > 0 {
			s.grantEnds = time.Now().Add(time.Duration(g.LeaseMS) * time.Millisecond)
		}
	}
	return Granted{s.highest, s.incarnation}, ok
}

func writeJSON(c *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(b)
}
