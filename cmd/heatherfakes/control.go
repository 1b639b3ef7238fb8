package main

import (
	"net"
	"net/http"
	"strconv"
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

func parseSigma(s string) (float64, error) {
	f, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, trace.BadParameter("log-normal service time needs MEDIAN,SIGMA")
	}
	return f, nil
}
