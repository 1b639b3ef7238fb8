package loads

import (
	"cmp"
	"slices"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/report"
	"heatherrouter/core/site"
)

// Summary is what a view says of one service, with the number of its announced servers by level.
type Summary struct {
	Service ident.Service `json:"service"`
	Share   float64       `json:"share"` // fraction of the callers' requests that daemons send; 0 for all
	Demand  []float64     `json:"demand"`
	Unknown int           `json:"unknown"`
	Free    int           `json:"free"`
	Busy    int           `json:"busy"`
	Full    int           `json:"full"`
}

// Summarize returns a summary of each service of the snapshot, by name. The view, of the age, may be nil.
func (v *View) Summarize(s *site.Snapshot, age time.Duration) []Summary {
	var l []Summary
	if v == nil || s.Config == nil {
		return l
	}
	for n := range s.Config.Services {
		x := Summary{Service: n, Share: v.Services[n].Share, Demand: v.Services[n].Demand}
		for _, y := range s.ServersOf(n) {
			switch level, known := v.Level(report.TargetOf(y), age); {
			case !known:
				x.Unknown++
			case level == Full:
				x.Full++
			case level == Busy:
				x.Busy++
			default:
				x.Free++
			}
		}
		l = append(l, x)
	}
	slices.SortFunc(l, func(a, b Summary) int { return cmp.Compare(a.Service, b.Service) })
	return l
}
