package feed

import (
	"errors"
	"maps"
	"net/netip"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"heatherrouter/core/crash"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/site"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// Keys of the rows in the control table.
const (
	CoordinatorRow = "coordinator"
	daemonPrefix   = "daemon/"
	keysPrefix     = "keys/"
	crashPrefix    = "crash/"
)

// DaemonRow returns the key of a daemon's row.
func DaemonRow(d ident.Daemon) string { return daemonPrefix + string(d) }

// KeysRow returns the key of the row with the assignment of a service's keys.
func KeysRow(s ident.Service) string { return keysPrefix + string(s) }

// CrashRow returns the key of the row with the crash count of a request.
func CrashRow(f crash.Fingerprint) string { return crashPrefix + f.String() }

// snapshotBuilder builds the next snapshot from changed rows. A row that can't be decoded is logged once for each time that
// it is written. It leaves the snapshot as it was, except that a server with such a row is removed.
type snapshotBuilder struct {
	s             *site.Snapshot
	o             Options
	from          rowSource
	announcements announcements

	ready, draining, gone []string // servers whose rows changed
}

// rowSource describes where rows came from.
type rowSource struct {
	name string        // name of a peer, fromStore or fromSelf
	age  time.Duration // age of the table's copy before the rows arrived
}

// Limits on the servers listed in one log line. Hundreds of servers start together, so few of these are listed. A draining or
// removed server explains why a request was not sent there, so more of these are listed.
const (
	maxReadyLogged   = 8
	maxLeavingLogged = 64
)

// logServers writes one line for all servers whose rows changed.
func (d *snapshotBuilder) logServers(rev store.Rev) {
	if len(d.ready)+len(d.draining)+len(d.gone) == 0 {
		return
	}
	first := func(l []string, n int) []string { return l[:min(len(l), n)] }
	d.o.Log.Info().Uint64("rev", uint64(rev)).Int("known", len(d.s.Servers)).
		Int("ready", len(d.ready)).Strs("ready-servers", first(d.ready, maxReadyLogged)).
		Int("draining", len(d.draining)).Strs("draining-servers", first(d.draining, maxLeavingLogged)).
		Int("gone", len(d.gone)).Strs("gone-servers", first(d.gone, maxLeavingLogged)).Msg("servers changed")
}

func newSnapshotBuilder(s *site.Snapshot, o Options, from rowSource) *snapshotBuilder {
	return &snapshotBuilder{o: o, from: from, s: &site.Snapshot{
		Config: s.Config, Rejected: s.Rejected, Servers: maps.Clone(s.Servers), Evacuated: maps.Clone(s.Evacuated),
		Daemons: maps.Clone(s.Daemons), Coordinator: s.Coordinator, Voters: s.Voters,
		Crashes: s.Crashes,
	}}
}

func (d *snapshotBuilder) applyRow(t store.Table, r store.Row) {
	var err error
	switch t {
	case store.Orders:
		err = d.applyOrder(r)
	case store.Servers:
		err = d.applyServer(r)
	case store.Control:
		err = d.applyControl(r)
	}
	if err != nil {
		d.o.Log.Warn().Err(err).Str("table", t.String()).Str("row", r.Key).Uint64("rev", uint64(r.Rev)).
			Msg("row left out")
	}
}

func (d *snapshotBuilder) applyOrder(r store.Row) error {
	if r.Gone {
		return d.applyOrderDeletion(r)
	}
	o, err := d.o.Decoder.Order(r.Key, r.Value)
	if err != nil {
		if isInvalidConfig(err) {
			d.s.Rejected = err
		}
		return err
	}
	switch x := o.(type) {
	case Configure:
		d.s.Rejected = d.configure(x.Config, r)
		return d.s.Rejected
	case Evacuate:
		d.s.Evacuated[x.Domain] = true
		d.o.Log.Info().Str("domain", string(x.Domain)).Uint64("rev", uint64(r.Rev)).Msg("domain evacuated")
	}
	return nil
}

// maxFindingsLogged bounds the findings about a configuration in one log line.
const maxFindingsLogged = 16

// configure puts the configuration into force unless it is older than the present one.
func (d *snapshotBuilder) configure(c *site.Config, r store.Row) error {
	if d.s.Config != nil && c.Version <= d.s.Config.Version {
		return trace.BadParameter("configuration version %d is not newer than version %d in force", c.Version, d.s.Config.Version)
	}
	d.s.Config = c
	d.o.Log.Info().Uint64("version", uint64(c.Version)).Uint64("rev", uint64(r.Rev)).
		Int("routes", c.RouteCount()).Str("from", d.from.name).Dur("copy-age", d.from.age).Msg("configuration in force")
	if len(c.Findings) > 0 {
		d.o.Log.Warn().Uint64("version", uint64(c.Version)).Int("count", len(c.Findings)).
			Strs("findings", c.Findings[:min(len(c.Findings), maxFindingsLogged)].Texts()).Msg("configuration has findings")
	}
	return nil
}

func isInvalidConfig(err error) bool {
	var x *InvalidConfigError
	return errors.As(err, &x)
}

// applyOrderDeletion ends an evacuation. A configuration stays in force when its row is deleted: no previous one is kept.
func (d *snapshotBuilder) applyOrderDeletion(r store.Row) error {
	o, err := d.o.Decoder.Order(r.Key, nil)
	if x, ok := o.(Evacuate); ok {
		delete(d.s.Evacuated, x.Domain)
		d.o.Log.Info().Str("domain", string(x.Domain)).Uint64("rev", uint64(r.Rev)).Msg("domain taken back")
		return nil
	}
	if isInvalidConfig(err) {
		d.s.Rejected = nil // the row is gone
	}
	return err
}

func (d *snapshotBuilder) applyServer(r store.Row) error {
	id, now := ident.Server(r.Key), d.o.Clock.Now()
	if r.Gone {
		d.announcements.deleted(now, id)
		delete(d.s.Servers, id)
		d.gone = append(d.gone, r.Key)
		return nil
	}
	x, err := d.o.Decoder.Server(r.Key, r.Value, now)
	if err != nil {
		d.announcements.invalid(id)
		delete(d.s.Servers, id)
		return err
	}
	if !d.announcements.admit(now, x, r.Value) {
		d.logOlder(x, r)
		return nil
	}
	d.s.Servers[id] = x
	if x.Draining {
		d.draining = append(d.draining, r.Key)
	} else {
		d.ready = append(d.ready, r.Key)
	}
	d.o.Log.Debug().Str("server", r.Key).Str("service", string(x.Service)).Bool("draining", x.Draining).
		Int64("born", x.Born).Uint64("rev", uint64(r.Rev)).Msg("server row applied")
	return nil
}

// logOlder logs that a row isn't used because the server has written a newer one.
func (d *snapshotBuilder) logOlder(x *site.Server, r store.Row) {
	n, _ := d.announcements.history.Newest(x.ID)
	d.o.Log.Info().Str("server", r.Key).Bool("draining", x.Draining).Int64("born", x.Born).Int64("sequence", x.Sequence).
		Int64("newest-born", n.Born).Int64("newest-sequence", n.Sequence).Uint64("rev", uint64(r.Rev)).Str("from", d.from.name).
		Msg("older row of a server not used")
}

func (d *snapshotBuilder) applyControl(r store.Row) error {
	if n, ok := strings.CutPrefix(r.Key, daemonPrefix); ok {
		return d.applyDaemon(ident.Daemon(n), r)
	}
	if n, ok := strings.CutPrefix(r.Key, crashPrefix); ok {
		return d.applyCrash(n, r)
	}
	if r.Key != CoordinatorRow {
		return nil // the coordinator reads the key assignments itself
	}
	x := &wire.CoordinatorRow{}
	if err := proto.Unmarshal(r.Value, x); err != nil {
		return trace.Wrap(err)
	}
	d.s.Coordinator = site.Coordinator{
		Daemon: ident.Daemon(x.GetDaemon()), Incarnation: ident.Incarnation(x.GetIncarnation()),
		Term: site.Term(x.GetTerm()), Clean: x.GetClean(), WithoutQuorum: x.GetWithoutQuorum(),
	}
	d.s.Voters = nil
	for _, v := range x.GetVoters() {
		d.s.Voters = append(d.s.Voters, ident.Daemon(v))
	}
	d.o.Log.Info().Str("coordinator", x.GetDaemon()).Uint64("term", x.GetTerm()).Bool("without-quorum", x.GetWithoutQuorum()).
		Int("voters", len(x.GetVoters())).Msg("coordinator")
	return nil
}

// applyCrash applies the crash count of a request that crashed servers.
func (d *snapshotBuilder) applyCrash(name string, r store.Row) error {
	f, ok := crash.ParseFingerprint(name)
	if !ok {
		return trace.BadParameter("crash row: %q is not a fingerprint of a request", name)
	}
	x := &wire.CrashRow{}
	if err := proto.Unmarshal(r.Value, x); err != nil {
		return trace.Wrap(err)
	}
	was, now := d.s.Crashes[f], int(x.GetCrashes())
	d.s.Crashes = maps.Clone(d.s.Crashes)
	if r.Gone {
		delete(d.s.Crashes, f)
		return nil
	}
	if d.s.Crashes == nil {
		d.s.Crashes = crash.Records{}
	}
	d.s.Crashes[f] = now
	if was < crash.RefusalThreshold && now >= crash.RefusalThreshold {
		d.o.Log.Warn().Str("fingerprint", name).Int("crashes", now).Uint64("rev", uint64(r.Rev)).
			Msg("request is kept from servers")
	}
	return nil
}

func (d *snapshotBuilder) applyDaemon(n ident.Daemon, r store.Row) error {
	if r.Gone {
		delete(d.s.Daemons, n)
		return nil
	}
	x := &wire.DaemonRow{}
	if err := proto.Unmarshal(r.Value, x); err != nil {
		return trace.Wrap(err)
	}
	a, err := netip.ParseAddrPort(x.GetPeer())
	if err != nil {
		return trace.Wrap(err)
	}
	y := &site.Daemon{
		Name: n, Domain: ident.Domain(x.GetDomain()), Peer: a, Incarnation: ident.Incarnation(x.GetIncarnation()),
		Capacity: int(x.GetCapacity()),
	}
	copy(y.Fingerprint[:], x.GetFingerprint())
	d.s.Daemons[n] = y
	return nil
}

func encodeHolds(h *hold.Holds) *wire.KeyHolds {
	w := &wire.KeyHolds{Stamp: encodeStamp(h.Stamp)}
	for s, l := range h.Services {
		w.Services = append(w.Services, encodeService(s, l))
	}
	return w
}

// Encoded holders of a range: none, lost, or an index into the list of servers from firstHolder on.
const (
	holderNone  = 0
	holderLost  = 1
	firstHolder = 2
)

func encodeService(s ident.Service, l []hold.Hold) *wire.ServiceHolds {
	w := &wire.ServiceHolds{Service: string(s)}
	index := map[ident.Server]uint32{"": holderLost}
	next := 0 // first key that isn't encoded yet
	hasAdmits := false
	for _, x := range l {
		if int(x.First) > next {
			w.Lasts, w.Holders, w.Admits = append(w.Lasts, uint32(x.First)-1), append(w.Holders, holderNone), append(w.Admits, 0)
		}
		w.Admits, hasAdmits = append(w.Admits, uint32(x.Admit)), hasAdmits || x.Admit > 0
		if _, ok := index[x.Server]; !ok {
			index[x.Server] = uint32(firstHolder + len(w.Servers)) //nolint:gosec // bounded by the number of servers
			w.Servers = append(w.Servers, string(x.Server))
		}
		w.Lasts, w.Holders = append(w.Lasts, uint32(x.Last)), append(w.Holders, index[x.Server])
		next = int(x.Last) + 1
	}
	if !hasAdmits {
		w.Admits = nil
	}
	return w
}

func decodeHolds(w *wire.KeyHolds) *hold.Holds {
	h := &hold.Holds{Stamp: decodeStamp(w.GetStamp()), Services: map[ident.Service][]hold.Hold{}}
	for _, x := range w.GetServices() {
		h.Services[ident.Service(x.GetService())] = decodeService(x)
	}
	return h
}

func decodeService(w *wire.ServiceHolds) []hold.Hold {
	var l []hold.Hold
	first := uint32(0)
	for i, last := range w.GetLasts() {
		if i >= len(w.GetHolders()) || last >= hold.Keys {
			break // malformed: no daemon encodes holds like this
		}
		x := hold.Hold{Range: hold.Range{First: hold.Key(first), Last: hold.Key(last)}} //nolint:gosec // below hold.Keys
		first = last + 1
		if i < len(w.GetAdmits()) {
			x.Admit = uint8(min(100, w.GetAdmits()[i])) //nolint:gosec // bounded
		}
		switch n := int(w.GetHolders()[i]); {
		case n == holderLost:
			x.Lost = true
		case n >= firstHolder && n-firstHolder < len(w.GetServers()):
			x.Server = ident.Server(w.GetServers()[n-firstHolder])
		default:
			continue
		}
		l = append(l, x)
	}
	return l
}

func encodeStamp(s hold.Stamp) *wire.HoldsStamp {
	return &wire.HoldsStamp{Term: uint64(s.Term), Sequence: s.Sequence}
}

func decodeStamp(s *wire.HoldsStamp) hold.Stamp {
	return hold.Stamp{Term: site.Term(s.GetTerm()), Sequence: s.GetSequence()}
}
