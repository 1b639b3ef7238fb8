package relay

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/io/clock"
)

// Guards against passing on a body that was cut off on the way between daemons.
func TestBodyOfAnotherSizeIsRejected(t *testing.T) {
	b, err := readBody(bytes.NewReader([]byte("four")), 4)
	require.NoError(t, err)
	require.Equal(t, "four", string(b))
	for _, size := range []int64{0, 3, 5, -1, maxBodyBytes + 1} {
		_, err := readBody(bytes.NewReader([]byte("four")), size)
		require.Error(t, err, "size %d", size)
	}
}

func TestDrainWaitsForRunningRequests(t *testing.T) {
	s := NewServer(clock.New(), nil, nil, nil)
	require.True(t, s.begin())
	c, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	s.Drain(c)
	require.Error(t, c.Err(), "a request runs")
	require.False(t, s.begin(), "no further request is taken")
	s.end()
	s.Drain(t.Context())
}
