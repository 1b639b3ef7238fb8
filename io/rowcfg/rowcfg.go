// Package rowcfg converts between the rows of the document "config" and the types of core/config.
package rowcfg

import (
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"heatherrouter/core/check"
	"heatherrouter/core/config"
	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
	"heatherrouter/io/wire"
)

// Read returns the configuration that the document holds, and a finding for each fault in its rows.
//
// A row that can't be decoded is reported as a finding and doesn't fail the call: one malformed row would otherwise remove the
// routes of all services.
func Read(d *docs.Doc) (*config.Config, check.Findings) {
	c := config.New(d.Rev)
	var f check.Findings
	for _, r := range d.Names("") {
		b := d.Body(r)
		if n, ok := config.ParseServiceRow(r); ok {
			readService(c, &f, r, n, b)
		}
		if t, ok := config.ParseTargetRow(r); ok {
			readDrain(c, &f, r, t, b)
		}
	}
	return c, f
}

func readService(c *config.Config, f *check.Findings, r ident.Row, n ident.Service, b []byte) {
	path, file, err := DecodeService(b)
	if err != nil {
		f.Addf(check.Place{Key: string(r)}, "can't be decoded: %v", err)
		return
	}
	s, found := config.Parse(path, file)
	*f = append(*f, found...)
	if s == nil {
		return
	}
	if s.Name != n {
		f.Addf(check.Place{File: path, Key: string(r)}, "holds the file of service %s", s.Name)
		return
	}
	c.Services[n] = s
}

func readDrain(c *config.Config, f *check.Findings, r ident.Row, t config.Target, b []byte) {
	d, err := DecodeDrain(b)
	if err != nil {
		// The name of the row identifies the target, so the drain applies all the same: its body is only for display.
		f.Addf(check.Place{Key: string(r)}, "can't be decoded: %v", err)
	}
	switch t := t.(type) {
	case config.DomainTarget:
		c.Domains[t.Name] = d
	case config.ServerTarget:
		c.Servers[t.Name] = d
	case config.DaemonTarget:
		c.Daemons[t.Name] = d
	}
}

// EncodeService returns the body of the row for a service's file.
func EncodeService(path string, file []byte) ([]byte, error) {
	b, err := marshal(&wire.ServiceRow{Path: path, File: file})
	return b, trace.Wrap(err)
}

// DecodeService returns the path and the content of the file that the body of a service's row holds.
func DecodeService(b []byte) (path string, file []byte, err error) {
	var m wire.ServiceRow
	if err := proto.Unmarshal(b, &m); err != nil {
		return "", nil, trace.Wrap(err)
	}
	return m.GetPath(), m.GetFile(), nil
}

// EncodeDrain returns the body of the row for a drain.
func EncodeDrain(d config.Drain) ([]byte, error) {
	b, err := marshal(&wire.DrainRow{By: d.By, SinceUnixMs: d.Since.UnixMilli()})
	return b, trace.Wrap(err)
}

// DecodeDrain returns the drain that the body of a row holds.
func DecodeDrain(b []byte) (config.Drain, error) {
	var m wire.DrainRow
	if err := proto.Unmarshal(b, &m); err != nil {
		return config.Drain{}, trace.Wrap(err)
	}
	return config.Drain{By: m.GetBy(), Since: time.UnixMilli(m.GetSinceUnixMs()).UTC()}, nil
}

// marshal encodes deterministically, so that an unchanged file gives an unchanged row.
func marshal(m proto.Message) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}
