package site

import (
	"fmt"
	"testing"

	"heatherrouter/core/ident"
)

// BenchmarkManyOrganisations builds the lookups of 10,000 organisations with 100,000 keys, which each change of a key repeats.
func BenchmarkManyOrganisations(b *testing.B) {
	keys := make([][]byte, 100_000)
	for i := range keys {
		keys[i] = fmt.Appendf(nil, "key-%016d", i)
	}
	b.ReportAllocs()
	for b.Loop() {
		l := make([]*Organisation, 10_000)
		for i := range l {
			l[i] = &Organisation{Name: ident.Organisation(fmt.Sprintf("organisation-%d", i)), Limit: Limit{Rate: 50, Burst: 50}}
			for _, k := range keys[10*i : 10*i+10] {
				l[i].Keys = append(l[i].Keys, DigestKey(k))
			}
		}
		if _, err := NewConfig(1, nil, nil, l, DefaultLimits()); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	l := []*Organisation{{Name: "creche", Keys: []KeyDigest{DigestKey([]byte("key-1"))}}}
	c, err := NewConfig(1, nil, nil, l, DefaultLimits())
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if c.OrganisationByKey(DigestKey([]byte("key-1"))) == nil {
			b.Fatal("not found")
		}
	}
}
