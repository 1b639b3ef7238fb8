package report

import (
	"maps"

	"heatherrouter/core/mono"
)

// SetCold records until when the server is cold, as it said in a health check. It reports whether that is news.
func (r *Record) SetCold(now, until mono.Time, k Target) bool {
	was, known := r.cold[k]
	if until <= max(now, was) {
		return false
	}
	r.cold[k] = until
	return !known || until > was.Add(clockTolerance)
}

// ColdUntil returns until when the server is cold, as far as a health check said so; 0 if none did.
func (r *Record) ColdUntil(k Target) mono.Time { return r.cold[k] }

// Cold returns until when servers are cold.
func (r *Record) Cold() map[Target]mono.Time { return r.cold }

// pruneCold discards the servers that are warm again.
func (r *Record) pruneCold(now mono.Time) {
	maps.DeleteFunc(r.cold, func(_ Target, until mono.Time) bool { return now >= until })
}
