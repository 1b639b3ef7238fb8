// Package route maps a caller's request to its service, kind of request and shard, and picks a backend server for it.
package route

import (
	"bytes"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"heatherrouter/core/config"
	"heatherrouter/core/ident"
)

// Table matches requests with the published services. It is immutable and safe for concurrent use.
type Table struct {
	services map[string]*service
}

type service struct {
	config *config.Service
	kinds  []kind
	noKind error
	noKey  error
}

type kind struct {
	config  *config.Kind
	pattern config.Pattern
}

// Match is the result of matching a request. Rest and Key alias the arguments of Table.Match.
type Match struct {
	Service *config.Service
	Kind    *config.Kind
	Rest    []byte // path below the service's own segment, with its leading slash
	Key     []byte // nil for an unkeyed service
	Hash    ident.Hash
	Shard   ident.Shard
}

// New returns a table of the services. They must have been accepted by config.Parse and must not change afterwards.
func New(services []*config.Service) *Table {
	t := &Table{services: make(map[string]*service, len(services))}
	for _, s := range services {
		c := &service{config: s, noKind: &NoKindError{Service: s.Name}, noKey: &NoKeyError{Service: s.Name, Source: s.Key}}
		for i := range s.Kinds {
			c.kinds = append(c.kinds, kind{config: &s.Kinds[i], pattern: config.CompilePattern(s.Kinds[i].Path)})
		}
		t.services[string(s.Name)] = c
	}
	return t
}

// Service returns the service with this name, or nil.
func (t *Table) Service(n ident.Service) *config.Service {
	if s := t.services[string(n)]; s != nil {
		return s.config
	}
	return nil
}

// Match finds the first kind, in the order of the service file, that matches the method and path.
//
// The path must be decoded and normalized: two encodings of one key would otherwise hash to two shards,
// and the key would have two owners. The error, if any, implements Error.
func (t *Table) Match(method, path []byte, query, header func(name string) []byte) (Match, error) {
	name, rest := cutService(path)
	s := t.services[string(name)]
	if s == nil {
		return Match{}, &UnknownServiceError{Service: ident.Service(name)}
	}
	k, err := s.kind(method, rest)
	if err != nil {
		return Match{}, err
	}
	m := Match{Service: s.config, Kind: k, Rest: rest}
	if s.config.Key == nil {
		return m, nil
	}
	m.Key = key(s.config.Key, rest, query, header)
	if len(m.Key) == 0 {
		return Match{}, s.noKey
	}
	m.Hash = HashOf(m.Key)
	m.Shard = ShardOf(m.Hash, s.config.Shards)
	return m, nil
}

func (s *service) kind(method, rest []byte) (*config.Kind, error) {
	pathMatched := false
	for i := range s.kinds {
		k := &s.kinds[i]
		if !k.pattern.Match(rest) {
			continue
		}
		for _, m := range k.config.Methods {
			if m == string(method) {
				return k.config, nil
			}
		}
		pathMatched = true
	}
	if !pathMatched {
		return nil, s.noKind
	}
	return nil, &WrongMethodError{Service: s.config.Name, Allowed: s.allowed(rest)}
}

// allowed returns the methods of all kinds that match the path, sorted and without duplicates.
func (s *service) allowed(rest []byte) []string {
	var l []string
	for i := range s.kinds {
		if s.kinds[i].pattern.Match(rest) {
			l = append(l, s.kinds[i].config.Methods...)
		}
	}
	slices.Sort(l)
	return slices.Compact(l)
}

func key(s config.KeySource, rest []byte, query, header func(name string) []byte) []byte {
	switch k := s.(type) {
	case config.PathKey:
		return segment(rest, k.Segment)
	case config.QueryKey:
		return query(k.Name)
	case config.HeaderKey:
		return header(k.Name)
	}
	return nil
}

// HashOf returns the hash of a key. All daemons must use the same function, since it determines a key's shard.
func HashOf(key []byte) ident.Hash {
	return ident.Hash(xxhash.Sum64(key))
}

// ShardOf returns the shard of a hash when the hash space is divided into n equal ranges.
func ShardOf(h ident.Hash, n int) ident.Shard {
	hi, _ := bits.Mul64(uint64(h), uint64(max(n, 1)))
	return ident.Shard(hi) //nolint:gosec // below n
}

// cutService splits "/service/rest" into "service" and "/rest". The results are nil where there is no such part.
func cutService(path []byte) (name, rest []byte) {
	if len(path) == 0 || path[0] != '/' {
		return nil, nil
	}
	p := path[1:]
	i := bytes.IndexByte(p, '/')
	if i < 0 {
		return p, nil
	}
	return p[:i], p[i:]
}

// segment returns segment i, counted from 0, of a path such as "/a/b/c", or nil.
func segment(rest []byte, i int) []byte {
	for len(rest) > 0 {
		rest = rest[1:]
		n := bytes.IndexByte(rest, '/')
		if n < 0 {
			n = len(rest)
		}
		if i == 0 {
			return rest[:n]
		}
		i--
		rest = rest[n:]
	}
	return nil
}
