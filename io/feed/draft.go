package feed

import (
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

// CrashRow returns the key of the row with the crashes under a request.
func CrashRow(f crash.Fingerprint) string { return crashPrefix + f.String() }

// draft is a snapshot in the making. A row that can't be read changes nothing and is logged, once for each time that
// it is written.
type draft struct {
	s    *site.Snapshot
	o    Options
	from origin

	ready, draining, gone []string // servers whose rows were news
}

// origin tells where rows came from.
type origin struct {
	from string        // a peer, fromStore or fromSelf
	age  time.Duration // of the table's copy before they came
}

// Bounds of the servers that one log line names. Hundreds of them start together; one that takes no more work explains why
// a request was not sent there.
const (
	maxReadyNamed = 8
	maxLeftNamed  = 64
)

// logServers writes one line for all servers whose rows were news.
func (d *draft) logServers(rev store.Rev) {
	if len(d.ready)+len(d.draining)+len(d.gone) == 0 {
		return
	}
	first := func(l []string, n int) []string { return l[:min(len(l), n)] }
	d.o.Log.Info().Uint64("rev", uint64(rev)).Int("known", len(d.s.Servers)).
		Int("ready", len(d.ready)).Strs("ready-servers", first(d.ready, maxReadyNamed)).
		Int("draining", len(d.draining)).Strs("draining-servers", first(d.draining, maxLeftNamed)).
		Int("gone", len(d.gone)).Strs("gone-servers", first(d.gone, maxLeftNamed)).Msg("servers changed")
}

func newDraft(s *site.Snapshot, o Options, from origin) *draft {
	return &draft{o: o, from: from, s: &site.Snapshot{
		Config: s.Config, Servers: maps.Clone(s.Servers), Evacuated: maps.Clone(s.Evacuated),
		Daemons: maps.Clone(s.Daemons), Coordinator: s.Coordinator, Voters: s.Voters,
		Crashes: s.Crashes,
	}}
}

func (d *draft) take(t store.Table, r store.Row) {
	var err error
	switch t {
	case store.Orders:
		err = d.order(r)
	case store.Servers:
		err = d.server(r)
	case store.Control:
		err = d.control(r)
	}
	if err != nil {
		d.o.Log.Warn().Err(err).Str("table", t.String()).Str("row", r.Key).Uint64("rev", uint64(r.Rev)).
			Msg("row left out")
	}
}

func (d *draft) order(r store.Row) error {
	if r.Gone {
		return d.orderGone(r)
	}
	o, err := d.o.Decoder.Order(r.Key, r.Value)
	if err != nil {
		return err
	}
	switch x := o.(type) {
	case Configure:
		if d.s.Config != nil && x.Config.Version <= d.s.Config.Version {
			return trace.BadParameter("configuration %d is not newer than %d", x.Config.Version, d.s.Config.Version)
		}
		d.s.Config = x.Config
		d.o.Log.Info().Uint64("version", uint64(x.Config.Version)).Uint64("rev", uint64(r.Rev)).
			Int("routes", x.Config.RouteCount()).Str("from", d.from.from).Dur("copy-age", d.from.age).Msg("configuration in force")
	case Evacuate:
		d.s.Evacuated[x.Domain] = true
		d.o.Log.Info().Str("domain", string(x.Domain)).Uint64("rev", uint64(r.Rev)).Msg("domain evacuated")
	}
	return nil
}

// orderGone ends an evacuation. A configuration stays in force when its row is dropped: there is nothing to go back to.
func (d *draft) orderGone(r store.Row) error {
	o, err := d.o.Decoder.Order(r.Key, nil)
	if x, ok := o.(Evacuate); ok {
		delete(d.s.Evacuated, x.Domain)
		d.o.Log.Info().Str("domain", string(x.Domain)).Uint64("rev", uint64(r.Rev)).Msg("domain taken back")
		return nil
	}
	return err
}

func (d *draft) server(r store.Row) error {
	id := ident.Server(r.Key)
	if r.Gone {
		delete(d.s.Servers, id)
		d.gone = append(d.gone, r.Key)
		return nil
	}
	x, err := d.o.Decoder.Server(r.Key, r.Value, d.o.Clock.Now())
	if err != nil {
		delete(d.s.Servers, id)
		return err
	}
	d.s.Servers[id] = x
	if x.Draining {
		d.draining = append(d.draining, r.Key)
	} else {
		d.ready = append(d.ready, r.Key)
	}
	d.o.Log.Debug().Str("server", r.Key).Str("service", string(x.Service)).Bool("draining", x.Draining).
		Int64("born", x.Born).Uint64("rev", uint64(r.Rev)).Msg("server known")
	return nil
}

func (d *draft) control(r store.Row) error {
	if n, ok := strings.CutPrefix(r.Key, daemonPrefix); ok {
		return d.daemon(ident.Daemon(n), r)
	}
	if n, ok := strings.CutPrefix(r.Key, crashPrefix); ok {
		return d.crash(n, r)
	}
	if r.Key != CoordinatorRow {
		return nil // the coordinator reads the rows of keys itself
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

// crash takes in the record of a request under which servers crashed.
func (d *draft) crash(name string, r store.Row) error {
	f, ok := crash.ParseFingerprint(name)
	if !ok {
		return trace.BadParameter("%q is no fingerprint of a request", name)
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
	if was < crash.RefusedFrom && now >= crash.RefusedFrom {
		d.o.Log.Warn().Str("fingerprint", name).Int("crashes", now).Uint64("rev", uint64(r.Rev)).
			Msg("request is kept from servers")
	}
	return nil
}

func (d *draft) daemon(n ident.Daemon, r store.Row) error {
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

// Holders of a range that are no servers.
const (
	holderNone  = 0
	holderLost  = 1
	firstHolder = 2
)

func encodeService(s ident.Service, l []hold.Hold) *wire.ServiceHolds {
	w := &wire.ServiceHolds{Service: string(s)}
	index := map[ident.Server]uint32{"": holderLost}
	next := 0 // the first key that isn't covered
	some := false
	for _, x := range l {
		if int(x.First) > next {
			w.Lasts, w.Holders, w.Admits = append(w.Lasts, uint32(x.First)-1), append(w.Holders, holderNone), append(w.Admits, 0)
		}
		w.Admits, some = append(w.Admits, uint32(x.Admit)), some || x.Admit > 0
		if _, ok := index[x.Server]; !ok {
			index[x.Server] = uint32(firstHolder + len(w.Servers)) //nolint:gosec // of servers
			w.Servers = append(w.Servers, string(x.Server))
		}
		w.Lasts, w.Holders = append(w.Lasts, uint32(x.Last)), append(w.Holders, index[x.Server])
		next = int(x.Last) + 1
	}
	if !some {
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
			break // not as any daemon encodes it
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
