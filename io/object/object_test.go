package object_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/io/fakes"
	"heatherrouter/io/object"
)

const (
	patient = 10 * time.Second       // for bodies of megabytes on a busy machine
	hasty   = 200 * time.Millisecond // for stores that hang
)

func setup(t *testing.T, timeout time.Duration) (*fakes.Objects, *object.Store) {
	f, err := fakes.NewObjects(fakes.ObjectsOptions{})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	s := object.New(object.Options{
		Endpoint: f.URL(), Region: "eu-west-1", Bucket: "router", AccessKey: "k", SecretKey: "s",
		Timeout: timeout,
	})
	t.Cleanup(s.Close)
	return f, s
}

func TestPutAndGet(t *testing.T) {
	f, s := setup(t, patient)
	for _, body := range [][]byte{{}, []byte("snapshot"), make([]byte, 3<<20)} {
		k := object.KeyOf("map/tabelid", body)
		require.NoError(t, s.Put(t.Context(), k, body))
		require.NoError(t, s.Put(t.Context(), k, body), "again is harmless")
		b, err := s.Get(t.Context(), k)
		require.NoError(t, err)
		require.Equal(t, len(body), len(b))
	}
	require.Len(t, f.Names(), 3)
	require.Equal(t, 6, f.Counts().Writes)
}

func TestNotFound(t *testing.T) {
	_, s := setup(t, hasty)
	_, err := s.Get(t.Context(), object.KeyOf("map", []byte("absent")))
	var n *object.NotFoundError
	require.ErrorAs(t, err, &n)
}

// The caller never gets a body that isn't what the key names, and can't store one.
func TestCorrupt(t *testing.T) {
	_, s := setup(t, hasty)
	var c *object.CorruptError
	require.ErrorAs(t, s.Put(t.Context(), object.KeyOf("map", []byte("one")), []byte("two")), &c)
	require.ErrorAs(t, s.Put(t.Context(), "map/latest", []byte("two")), &c)
}

// The caller sees "unavailable" for every way of being out, and a working store right after.
func TestOutages(t *testing.T) {
	body := []byte("snapshot")
	k := object.KeyOf("map", body)
	for _, o := range []fakes.Outage{fakes.RefuseOutage, fakes.ErrorOutage, fakes.HangOutage} {
		t.Run(string(o), func(t *testing.T) {
			f, s := setup(t, hasty)
			require.NoError(t, s.Put(t.Context(), k, body))
			require.NoError(t, f.SetFaults(fakes.Faults{Outage: o}))
			var u *object.UnavailableError
			require.ErrorAs(t, s.Put(t.Context(), k, body), &u)
			_, err := s.Get(t.Context(), k)
			require.ErrorAs(t, err, &u)
			require.NoError(t, f.SetFaults(fakes.Faults{}))
			_, err = s.Get(t.Context(), k)
			require.NoError(t, err)
		})
	}
}
