package delta

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// configuration returns a configuration with the number of routes, of which the one at index 3 has the timeout in ms.
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

// Guards against frequent large configurations that fill the coordinator's link, so that daemons receive each one seconds
// late: 290 KB to each of 86 daemons, three times a second, is 600 Mbit/s.
func TestPackConfiguration(t *testing.T) {
	a, b := configuration(1500, 2000), configuration(1500, 2500)
	alone, err := Pack(nil, b)
	require.NoError(t, err)
	against, err := Pack(a, b)
	require.NoError(t, err)
	t.Logf("%d bytes, packed without a base %d, against the previous version %d", len(b), len(alone), len(against))
	require.Less(t, len(alone), len(b)/4)
	require.Less(t, len(against), 500)
	for _, x := range []struct{ base, packed []byte }{{nil, alone}, {a, against}} {
		v, err := Unpack(x.base, x.packed)
		require.NoError(t, err)
		require.Equal(t, b, v)
	}
}

// Guards against a configuration that no operator wrote: the daemon's copy is not the one that the sender assumes, and the
// difference decodes against it as well. The checksum must reject it.
func TestUnpackAgainstOtherBase(t *testing.T) {
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
		_, _ = Unpack(base, packed) // must return for any input
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
