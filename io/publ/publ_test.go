package publ_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/check"
	"heatherrouter/core/config"
	"heatherrouter/core/ident"
	"heatherrouter/io/admin"
	"heatherrouter/io/admin/fake"
	"heatherrouter/io/rowcfg"
)

// service returns the file of a service with one backend server at the port.
func service(name string, port int) admin.File {
	return admin.File{Path: name + "/heatherrouter.toml", Body: fake.ServiceFile(name, port)}
}

func publishOf(base ident.Rev, txn ident.Txn, l ...admin.File) admin.Publish {
	return admin.Publish{Txn: txn, BaseRev: base, Files: l, By: "anna"}
}

func TestPublish(t *testing.T) {
	d := fake.NewDocs()
	p := fake.New(d, time.Now)
	a, b := service("a", 1), service("b", 2)

	got, err := p.Publish(t.Context(), publishOf(0, "txn-000001", a, b))
	require.NoError(t, err)
	require.Equal(t, admin.Published{Rev: 1, Changed: []ident.Service{"a", "b"}}, got)

	moved := a
	moved.Path = "elsewhere/heatherrouter.toml"
	got, err = p.Publish(t.Context(), publishOf(1, "txn-000002", moved, b))
	require.NoError(t, err)
	require.Equal(t, admin.Published{Rev: 1, Same: []ident.Service{"a", "b"}}, got)
	require.Equal(t, 1, d.Commits(), "unchanged files cause no write")

	q := publishOf(1, "txn-000003", service("a", 3))
	q.Remove = []ident.Service{"b"}
	got, err = p.Publish(t.Context(), q)
	require.NoError(t, err)
	require.Equal(t, admin.Published{Rev: 2, Changed: []ident.Service{"a"}, Removed: []ident.Service{"b"}}, got)
	c, f := rowcfg.Read(d.Get(ident.ConfigDoc))
	require.Empty(t, f)
	require.Len(t, c.Services, 1)
	require.Equal(t, uint16(3), c.FindServer("a/s").Addr.Port())
}

func TestPublishFindings(t *testing.T) {
	bad := service("c", 9)
	bad.Body = strings.Replace(bad.Body, "1s", "0s", 1)
	tests := []struct {
		name   string
		files  []admin.File
		remove []ident.Service
		want   string
	}{
		{"file", []admin.File{service("b", 2), bad}, nil, "c/heatherrouter.toml:13: kinds[0].timeout"},
		{"address in force", []admin.File{service("b", 1)}, nil, "is 127.0.0.1:1, the address of a/s too"},
		{"twice", []admin.File{service("b", 2), service("b", 3)}, nil, "names the service b"},
		{"remove unknown", nil, []ident.Service{"x"}, `there is no service "x" to remove`},
		{"remove twice", nil, []ident.Service{"a", "a"}, `"a" is removed twice`},
		{"publish and remove", []admin.File{service("a", 2)}, []ident.Service{"a"}, "both published and removed"},
	}
	d := fake.NewDocs()
	p := fake.New(d, time.Now)
	_, err := p.Publish(t.Context(), publishOf(0, "txn-000001", service("a", 1)))
	require.NoError(t, err)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := publishOf(1, "txn-000002", tt.files...)
			q.Remove = tt.remove
			_, err := p.Publish(t.Context(), q)
			var f check.Findings
			require.ErrorAs(t, err, &f)
			require.Len(t, f, 1, f.Error())
			require.Contains(t, f.Error(), tt.want)
		})
	}
	require.Equal(t, 1, d.Commits())
}

// Two operators publish at once, both from revision 0. Anna's commit reaches the table between Bert's check
// and Bert's commit. Bert must be told that revision 1 is in force and nothing of Anna's may be overwritten,
// since Bert has never seen it.
func TestPublishRace(t *testing.T) {
	d := fake.NewDocs()
	p := fake.New(d, time.Now)
	d.BeforeCommit(func() {
		_, err := p.Publish(t.Context(), publishOf(0, "txn-anna01", service("a", 1)))
		require.NoError(t, err)
	})
	_, err := p.Publish(t.Context(), publishOf(0, "txn-bert01", service("a", 2)))
	var e *admin.ConflictError
	require.ErrorAs(t, err, &e)
	require.Equal(t, admin.ConflictError{Base: 0, Current: 1}, *e)

	// The same again, after Bert's daemon has heard of revision 1.
	_, err = p.Publish(t.Context(), publishOf(0, "txn-bert02", service("a", 2)))
	require.ErrorAs(t, err, new(*admin.ConflictError))
	c, _ := rowcfg.Read(d.Get(ident.ConfigDoc))
	require.Equal(t, uint16(1), c.FindServer("a/s").Addr.Port())
}

// The table takes the publish, but its reply is lost, and another operator publishes on top. The client asks
// again with the same transaction id: the answer must be the revision of its own publish. A conflict would be
// wrong, since the files were in force; writing them again would undo the other operator's change.
func TestPublishLostReply(t *testing.T) {
	d := fake.NewDocs()
	p := fake.New(d, time.Now)
	q := publishOf(0, "txn-000001", service("a", 1), service("b", 2))
	d.Fail(fake.FaultLostReply)
	_, err := p.Publish(t.Context(), q)
	require.ErrorAs(t, err, new(*admin.UnknownError))

	q.Again = true
	got, err := p.Publish(t.Context(), q)
	require.NoError(t, err)
	require.Equal(t, admin.Published{Rev: 1, Changed: []ident.Service{"a", "b"}}, got)

	_, err = p.Publish(t.Context(), publishOf(1, "txn-000002", service("b", 3)))
	require.NoError(t, err)
	got, err = p.Publish(t.Context(), q)
	require.NoError(t, err)
	require.Equal(t, ident.Rev(1), got.Rev)
	require.Equal(t, 2, d.Commits())
	c, _ := rowcfg.Read(d.Get(ident.ConfigDoc))
	require.Equal(t, uint16(3), c.FindServer("b/s").Addr.Port())
}

func TestPublishTooMuch(t *testing.T) {
	p := fake.New(fake.NewDocs(), time.Now)
	var l []admin.File
	for i := range 81 {
		l = append(l, service(fmt.Sprintf("s%d", i), i+1))
	}
	_, err := p.Publish(t.Context(), publishOf(0, "txn-000001", l...))
	require.ErrorContains(t, err, "at most 80")

	l = l[:0]
	for i := range 13 {
		f := service(fmt.Sprintf("s%d", i), i+1)
		f.Body += "#" + strings.Repeat("x", 250<<10)
		l = append(l, f)
	}
	_, err = p.Publish(t.Context(), publishOf(0, "txn-000002", l...))
	require.ErrorContains(t, err, "publish the trees one after the other")
}

// A keyed service is in force. Another number of shards would give the same shard number other keys, and
// another address under the same name would let one key run at two places under one epoch; both are refused.
func TestPublishKeepsOwnership(t *testing.T) {
	d := fake.NewDocs()
	p := fake.New(d, time.Now)
	keyed := func(shards, port int) admin.File {
		f := service("a", port)
		f.Body = fmt.Sprintf("shards = %d\nkey = { header = \"k\" }\n%s", shards, f.Body)
		return f
	}
	_, err := p.Publish(t.Context(), publishOf(0, "txn-000001", keyed(8, 1)))
	require.NoError(t, err)
	for want, f := range map[string]admin.File{
		"shards: is 16, must stay 8":                     keyed(16, 1),
		"shards: is 0, must stay 8":                      service("a", 1),
		":6: servers.address: is 127.0.0.1:2, must stay": keyed(8, 2),
	} {
		_, err = p.Publish(t.Context(), publishOf(1, "txn-000002", f))
		var found check.Findings
		require.ErrorAs(t, err, &found)
		require.Len(t, found, 1, found.Error())
		require.Contains(t, found.Error(), want)
	}
	require.Equal(t, 1, d.Commits())
}

// The table takes the drain, its reply is lost, and another operator restores the server. The client asks again
// with the same transaction id: the answer is that of the first attempt, and the server stays restored. A drain
// that went on to the newer revision by itself would take it out of service again.
func TestDrainLostReply(t *testing.T) {
	d := fake.NewDocs()
	p := fake.New(d, time.Now)
	_, err := p.Publish(t.Context(), publishOf(0, "txn-000001", service("a", 1)))
	require.NoError(t, err)
	q := admin.Drain{Txn: "txn-000002", BaseRev: 1, Kind: admin.DrainServer, Name: "a/s", By: "anna", Since: time.Unix(1, 0)}
	d.Fail(fake.FaultLostReply)
	_, err = p.Drain(t.Context(), q)
	require.ErrorAs(t, err, new(*admin.UnknownError))
	_, err = p.Restore(t.Context(), admin.Drain{Txn: "txn-000003", BaseRev: 2, Kind: admin.DrainServer, Name: "a/s", By: "bert"})
	require.NoError(t, err)

	q.Again = true
	got, err := p.Drain(t.Context(), q)
	require.NoError(t, err)
	require.Equal(t, admin.Drained{Rev: 2, Changed: true}, got)
	require.Equal(t, 3, d.Commits())
	c, _ := rowcfg.Read(d.Get(ident.ConfigDoc))
	require.Empty(t, c.Servers)
}

func TestPublishWaitsForItsBase(t *testing.T) {
	p := fake.New(fake.NewDocs(), time.Now)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := p.Publish(ctx, publishOf(4, "txn-000001", service("a", 1)))
	require.ErrorAs(t, err, new(*admin.UnavailableError))
}

func TestDrainAndRestore(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000).UTC()
	d := fake.NewDocs()
	p := fake.New(d, func() time.Time { return now })
	_, err := p.Publish(t.Context(), publishOf(0, "txn-000001", service("a", 1)))
	require.NoError(t, err)
	drain := func(base ident.Rev, k admin.DrainKind, name string) admin.Drain {
		return admin.Drain{Txn: ident.Txn(fmt.Sprintf("txn-10000%d", base)), BaseRev: base, Kind: k, Name: name, By: "anna"}
	}

	got, err := p.Drain(t.Context(), drain(1, admin.DrainServer, "a/s"))
	require.NoError(t, err)
	require.Equal(t, admin.Drained{Rev: 2, Changed: true}, got)
	got, err = p.Drain(t.Context(), drain(2, admin.DrainServer, "a/s"))
	require.NoError(t, err)
	require.Equal(t, admin.Drained{Rev: 3, Changed: false}, got)
	q := drain(3, admin.DrainDaemon, string(fake.Daemon))
	q.Since = now.Add(time.Second)
	_, err = p.Drain(t.Context(), q)
	require.NoError(t, err)
	c, _ := rowcfg.Read(d.Get(ident.ConfigDoc))
	require.Equal(t, map[ident.Server]config.Drain{"a/s": {By: "anna", Since: now}}, c.Servers)
	require.Equal(t, map[ident.Daemon]config.Drain{fake.Daemon: {By: "anna", Since: q.Since}}, c.Daemons)

	got, err = p.Restore(t.Context(), drain(4, admin.DrainServer, "a/s"))
	require.NoError(t, err)
	require.True(t, got.Changed)
	c, _ = rowcfg.Read(d.Get(ident.ConfigDoc))
	require.Empty(t, c.Servers)

	for _, q := range []admin.Drain{
		drain(5, admin.DrainServer, "a/x"), drain(5, admin.DrainDomain, "d9"), drain(5, admin.DrainDaemon, "hr-99"),
	} {
		_, err = p.Drain(t.Context(), q)
		require.ErrorAs(t, err, new(*admin.NotFoundError))
	}
	_, err = p.Drain(t.Context(), drain(5, "zone", "d1"))
	require.ErrorContains(t, err, "must be domain, server or daemon")
}

// Another operator publishes between the drain's read and its commit. The table must refuse the drain, which
// was checked against older services; the client then goes on to the newer revision.
func TestDrainRace(t *testing.T) {
	d := fake.NewDocs()
	p := fake.New(d, time.Now)
	_, err := p.Publish(t.Context(), publishOf(0, "txn-000001", service("a", 1)))
	require.NoError(t, err)
	d.BeforeCommit(func() {
		_, err := p.Publish(t.Context(), publishOf(1, "txn-000002", service("a", 2)))
		require.NoError(t, err)
	})
	q := admin.Drain{Txn: "txn-000003", BaseRev: 1, Kind: admin.DrainDomain, Name: "d1", By: "anna"}
	for range 2 { // once refused by the table, then by the copy that has caught up
		_, err = p.Drain(t.Context(), q)
		var e *admin.ConflictError
		require.ErrorAs(t, err, &e)
		require.Equal(t, admin.ConflictError{Base: 1, Current: 2}, *e)
	}
	q.BaseRev = 2
	got, err := p.Drain(t.Context(), q)
	require.NoError(t, err)
	require.Equal(t, admin.Drained{Rev: 3, Changed: true}, got)
}
