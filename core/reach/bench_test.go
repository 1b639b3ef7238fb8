package reach

import (
	"fmt"
	"testing"

	"heatherrouter/core/ident"
)

// BenchmarkAnswered measures what each response costs while some servers of a large site are unreachable.
func BenchmarkAnswered(b *testing.B) {
	p := NewPaths()
	for i := range 3000 {
		p.Answered(begin, target(fmt.Sprint(i)), true)
	}
	p.Failed(begin.Add(1), begin.Add(2), target("17"), Refused)
	t := Target{Service: "s", Server: ident.Server("5")}
	for b.Loop() {
		p.Answered(begin.Add(3), t, true)
		p.AllReachable()
	}
}
