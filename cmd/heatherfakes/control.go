package main

import (
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

const headTimeout = 10 * time.Second

// controlPage serves /control of a stand-in that has no page of its own.
type controlPage struct {
	http *http.Server
	addr string
}

func newControlPage(addr string, h http.Handler) (*controlPage, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	m := http.NewServeMux()
	m.Handle("POST /control", h)
	p := &controlPage{&http.Server{Handler: m, ReadHeaderTimeout: headTimeout}, l.Addr().String()}
	go func() { _ = p.http.Serve(l) }()
	return p, nil
}

func (p *controlPage) url() string { return "http://" + p.addr }

// Close ends the page.
func (p *controlPage) Close() { _ = p.http.Close() }
