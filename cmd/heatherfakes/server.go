package main

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"heatherrouter/core/ident"
	"heatherrouter/io/fakes/cut"
	"heatherrouter/io/fakes/server"
)

type serverArgs struct {
	Server       []string      `placeholder:"SERVICE/NAME[=ADDR]" help:"Backend server to run, once for each; any loopback port without an address."`
	Control      string        `default:"127.0.0.1:0" help:"Address of the control page."`
	Slots        int           `default:"3" help:"Requests that a server works on at once."`
	Conns        int           `default:"130" help:"Connections that a server accepts."`
	ConnectCost  time.Duration `default:"1ms" help:"Before a new connection is served."`
	ServiceTime  string        `default:"fixed:0s" help:"Distribution of service times: fixed:D, exponential:MEAN or log-normal:MEDIAN,SIGMA."`
	Seed         uint64        `default:"1" help:"Seed of the service times."`
	ColdWork     int           `default:"30" help:"Requests until a started server is warm; 0 for always."`
	ChecksGrants bool          `help:"Every server refuses work of an older epoch."`
	GrantsOf     []string      `placeholder:"SERVICE" help:"Service whose servers refuse work of an older epoch."`
	Sheds        bool          `help:"Refuse what exceeds twice the slots."`
	ReportLag    time.Duration `default:"2s" help:"How late the load and health pages are."`
	BodyRate     int           `help:"Bytes per second of a large body; 0 for no limit."`
	NoLog        bool          `help:"Keep no log of work."`
}

func (a *serverArgs) start(r *ready) ([]closer, error) {
	d, err := parseServiceTime(a.ServiceTime)
	if err != nil {
		return nil, err
	}
	g, err := server.NewGroup(a.Control)
	if err != nil {
		return nil, err
	}
	r.ServerControl = g.ControlURL()
	for i, x := range a.Server {
		name, addr, _ := strings.Cut(x, "=")
		s, err := g.Add(server.Options{
			Name: ident.Server(name), Addr: addr, Slots: a.Slots, Conns: a.Conns, ConnectCost: a.ConnectCost,
			ServiceTime: d, Seed: a.Seed + uint64(i), ColdWork: a.ColdWork,
			ChecksGrants: a.ChecksGrants || slices.Contains(a.GrantsOf, string(ident.Server(name).Service())),
			Sheds:        a.Sheds, ReportLag: a.ReportLag, BodyRate: a.BodyRate, NoLog: a.NoLog,
		})
		if err != nil {
			return []closer{g}, trace.Wrap(err, "server %s", name)
		}
		r.Servers = append(r.Servers, serverPlace{name, s.Addr()})
	}
	return []closer{g}, nil
}

func parseServiceTime(s string) (server.ServiceTime, error) {
	kind, rest, _ := strings.Cut(s, ":")
	first, second, _ := strings.Cut(rest, ",")
	d, err := time.ParseDuration(first)
	if err != nil {
		return nil, trace.BadParameter("service time %q: %v", s, err)
	}
	switch kind {
	case "fixed":
		return server.Fixed(d), nil
	case "exponential":
		return server.Exponential{Mean: d}, nil
	case "log-normal":
		sigma, err := parseSigma(second)
		return server.LogNormal{Median: d, Sigma: sigma}, err
	}
	return nil, trace.BadParameter("service time %q is none of fixed, exponential, log-normal", s)
}

func parseSigma(s string) (float64, error) {
	f, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, trace.BadParameter("log-normal service time needs MEDIAN,SIGMA")
	}
	return f, nil
}

type relayArgs struct {
	Network string `default:"tcp" enum:"tcp,udp" help:"What is relayed: tcp or udp."`
	Addr    string `default:"127.0.0.1:0" help:"Address that the relay listens on."`
	Control string `default:"127.0.0.1:0" help:"Address of the control page."`
	Target  string `arg:"" help:"Address that is relayed to."`
}

func (a *relayArgs) start(r *ready) ([]closer, error) {
	var x cut.Relay
	var err error
	if a.Network == "udp" {
		x, err = cut.NewUDP(a.Addr, a.Target)
	} else {
		x, err = cut.NewTCP(a.Addr, a.Target)
	}
	if err != nil {
		return nil, err
	}
	c, err := newControlPage(a.Control, cut.Control(x))
	if err != nil {
		return []closer{x}, err
	}
	r.Relay = &fakePlace{a.Network + "://" + x.Addr(), c.url()}
	return []closer{x, c}, nil
}
