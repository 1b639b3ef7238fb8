package admin

import (
	"fmt"

	"heatherrouter/core/config"
	"heatherrouter/core/ident"
)

// ViewService returns what the page shows of a service; rev last changed the file that lies at the path.
func ViewService(s *config.Service, rev ident.Rev, path string) Service {
	v := Service{
		Name:    s.Name,
		Region:  s.Region,
		Key:     viewKey(s.Key),
		Shards:  s.Shards,
		Servers: len(s.Servers),
		Kinds:   make([]Kind, len(s.Kinds)),
		Rev:     rev,
		Path:    path,
	}
	for i := range s.Kinds {
		v.Kinds[i] = viewKind(&s.Kinds[i])
	}
	return v
}

func viewKey(k config.KeySource) string {
	switch k := k.(type) {
	case config.PathKey:
		return fmt.Sprintf("path-segment %d", k.Segment)
	case config.HeaderKey:
		return "header " + k.Name
	case config.QueryKey:
		return "query " + k.Name
	default:
		return ""
	}
}

func viewKind(k *config.Kind) Kind {
	return Kind{
		Name:         k.Name,
		Methods:      k.Methods,
		Path:         k.Path,
		Idempotent:   k.Idempotent,
		Timeout:      k.Timeout.String(),
		Priority:     int(k.Priority),
		MayWait:      k.MayWait,
		NeverDropped: k.NeverDropped,
		Streamed:     k.Streamed,
	}
}
