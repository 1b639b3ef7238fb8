package stand

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"text/template"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/ident"
	"heatherrouter/io/admcli"
	"heatherrouter/io/admin"
	"heatherrouter/io/fakes/server"
)

// Service is what a stand needs to know to make a service file with its backend servers.
type Service struct {
	Name    ident.Service
	Keyed   bool
	Shards  int
	Grants  bool // the servers check grants
	Kinds   string
	Servers []*server.Server
}

// Kinds of request for keyed and unkeyed services, in the form of a service file.
const (
	KeyedKinds = `
[[kinds]]
name = "read"
methods = ["GET"]
path = "/read/*"
idempotent = true
timeout = "1s"
priority = 5

[[kinds]]
name = "write"
methods = ["POST"]
path = "/write/*"
timeout = "1s"
priority = 9
`
	UnkeyedKinds = `
[[kinds]]
name = "read"
methods = ["GET"]
path = "/read/**"
idempotent = true
timeout = "2s"
priority = 5

[[kinds]]
name = "swap"
methods = ["POST"]
path = "/swap"
timeout = "3s"
priority = 9

[[kinds]]
name = "volume"
methods = ["GET"]
path = "/volume/*"
idempotent = true
streamed = true
timeout = "60s"
priority = 3

[[kinds]]
name = "upload"
methods = ["POST"]
path = "/upload"
streamed = true
timeout = "60s"
priority = 3

[[kinds]]
name = "later"
methods = ["GET"]
path = "/later/**"
idempotent = true
may-wait = true
never-dropped = true
timeout = "30s"
priority = 1
`
)

var serviceFile = template.Must(template.New("service").Parse(`name = "{{.Name}}"
region = "{{.Region}}"
{{if .Keyed}}shards = {{.Shards}}

[key]
path-segment = 1
{{end}}{{.Kinds}}
{{range .Servers}}
[[servers]]
name = "{{.Short}}"
address = "{{.Addr}}"
domain = "{{.Domain}}"
slots = {{.Slots}}
conns = 130
checks-grants = {{.Grants}}
{{end}}`))

type serverLine struct {
	Short  string
	Addr   string
	Domain ident.Domain
	Slots  int
	Grants bool
}

// AddService starts n backend server stand-ins, spread over the domains, and returns the service.
// The options are those of each server; its name is set here.
func (s *Stand) AddService(x Service, n int, o server.Options) (Service, error) {
	for i := range n {
		y := o
		y.Name = ident.ServerID(x.Name, fmt.Sprintf("s%02d", i+1))
		y.Seed += uint64(i)
		y.ChecksGrants = x.Grants
		v, err := s.AddServer(y)
		if err != nil {
			return x, err
		}
		x.Servers = append(x.Servers, v)
	}
	return x, nil
}

// File returns the service's file.
func (s *Stand) File(x Service, slots int) (admin.File, error) {
	var l []serverLine
	for i, v := range x.Servers {
		_, short, _ := bytes.Cut([]byte(v.Name()), []byte("/"))
		l = append(l, serverLine{Short: string(short), Addr: v.Addr(), Domain: Domain(i % s.o.Domains), Slots: slots, Grants: x.Grants})
	}
	if x.Shards == 0 {
		x.Shards = 64
	}
	kinds := x.Kinds
	if kinds == "" && x.Keyed {
		kinds = KeyedKinds
	} else if kinds == "" {
		kinds = UnkeyedKinds
	}
	var b bytes.Buffer
	err := serviceFile.Execute(&b, map[string]any{
		"Name": x.Name, "Region": Region, "Keyed": x.Keyed, "Shards": x.Shards, "Kinds": kinds, "Servers": l,
	})
	return admin.File{Path: string(x.Name) + ".toml", Body: b.String()}, trace.Wrap(err)
}

// WriteFiles writes service files below the stand's folder, one folder each, as operators keep them.
func (s *Stand) WriteFiles(l ...admin.File) (string, error) {
	root := filepath.Join(s.o.Dir, "services")
	for _, f := range l {
		dir := filepath.Join(root, f.Path[:len(f.Path)-len(".toml")])
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return "", trace.ConvertSystemError(err)
		}
		if err := os.WriteFile(filepath.Join(dir, "heatherrouter.toml"), []byte(f.Body), 0o600); err != nil {
			return "", trace.ConvertSystemError(err)
		}
	}
	return root, nil
}

// Admin returns a client of the daemons' admin pages, first of the given one.
func (s *Stand) Admin(first int) *admcli.Client {
	var l []netip.AddrPort
	for i := range s.Daemons {
		l = append(l, s.Daemons[(first+i)%len(s.Daemons)].Admin)
	}
	return admcli.New(admcli.Options{Addrs: l, Key: OperatorKey, Dial: fasthttp.Dial, Sleep: sleep})
}

func sleep(c context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-c.Done():
		return context.Cause(c)
	}
}

// NewTxn returns a transaction id.
func NewTxn() ident.Txn {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return ident.Txn(hex.EncodeToString(b[:]))
}

// Publish publishes the files at the first daemon that answers, as soon as one does.
func (s *Stand) Publish(c context.Context, l ...admin.File) (ident.Rev, error) {
	p := admin.Publish{Txn: NewTxn(), Files: l, By: "stand"}
	var last error
	for ; c.Err() == nil; p.Again = true {
		a, err := s.Admin(0).Publish(c, p)
		if err == nil {
			return a.Rev, nil
		}
		last = err
		time.Sleep(50 * time.Millisecond)
	}
	return 0, trace.Wrap(last, "publish")
}

// Eventually waits until f returns nil, or returns its last error.
func Eventually(limit time.Duration, f func() error) error {
	end := time.Now().Add(limit)
	for {
		err := f()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}
