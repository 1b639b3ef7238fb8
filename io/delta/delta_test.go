package delta

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// configuration returns one with so many routes, the third of which has the timeout.
func configuration(routes, timeout int) []byte {
	var b strings.Builder
	r := rand.New(rand.NewPCG(1, 1))
	for i := range routes {
		t := 2000
		if i == 3 {
			t = timeout
		}
		fmt.Fprintf(&b, `{"name":"route-%x","host":"%x.example","prefix":"/%x/","kind":"safe","timeout_ms":%d,"target_latency_ms":800,`+
			`"max_attempts":3,"priority":2,"service":"tabelid"},`, r.Uint32(), r.Uint32(), r.Uint32(), t)
	}
	return []byte(b.String())
}

// A storm of large configurations fills the coordinator's link, and daemons learn of each one seconds late: 290 KB to
// each of 86 daemons, three times a second, are 600 Mbit/s.
func TestPackConfiguration(t *testing.T) {
	a, b := configuration(1500, 2000), configuration(1500, 2500)
	alone, err := Pack(nil, b)
	require.NoError(t, err)
	against, err := Pack(a, b)
	require.NoError(t, err)
	t.Logf("%d bytes, alone %d, against the last version %d", len(b), len(alone), len(against))
	require.Less(t, len(alone), len(b)/4)
	require.Less(t, len(against), 500)
	for _, x := range []struct{ base, packed []byte }{{nil, alone}, {a, against}} {
		v, err := Unpack(x.base, x.packed)
		require.NoError(t, err)
		require.Equal(t, b, v)
	}
}

// A daemon takes over a configuration that nobody wrote: its copy is another than the sender believes, and the patch
// fits it as well. The checksum refuses it.
func TestUnpackAgainstAnother(t *testing.T) {
	a, b := configuration(100, 2000), configuration(100, 2500)
	p, err := Pack(a, b)
	require.NoError(t, err)
	_, err = Unpack(configuration(100, 3500), p)
	require.Error(t, err)
	_, err = Unpack(nil, p)
	require.Error(t, err)
}

func TestPackEmpty(t *testing.T) {
	p, err := Pack([]byte("base"), nil)
	require.NoError(t, err)
	v, err := Unpack([]byte("base"), p)
	require.NoError(t, err)
	require.Empty(t, v)
}

func FuzzUnpack(f *testing.F) {
	p, err := Pack([]byte("a base"), []byte("a value"))
	require.NoError(f, err)
	f.Add([]byte("a base"), p)
	f.Fuzz(func(_ *testing.T, base, packed []byte) {
		_, _ = Unpack(base, packed) // whatever comes, it returns
	})
}

func BenchmarkPackAgainst(b *testing.B) {
	x, y := configuration(1500, 2000), configuration(1500, 2500)
	for b.Loop() {
		if _, err := Pack(x, y); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkUnpackAgainst(b *testing.B) {
	x, y := configuration(1500, 2000), configuration(1500, 2500)
	p, err := Pack(x, y)
	require.NoError(b, err)
	b.SetBytes(int64(len(y)))
	for b.Loop() {
		if _, err := Unpack(x, p); err != nil {
			b.Fatal(err)
		}
	}
}
