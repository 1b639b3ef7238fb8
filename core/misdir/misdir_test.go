package misdir

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/hold"
	"heatherrouter/core/mono"
)

const (
	begin = mono.Time(time.Hour)
	ms    = time.Millisecond
)

var left, right = hold.Range{First: 0, Last: 99}, hold.Range{First: 100, Last: 199}

// Guards against sending a request again to a server that has just refused it as misdirected.
func TestRepeatsDoNotGoToRefusingServer(t *testing.T) {
	s := New(true)
	require.Equal(t, Open, s.Access(begin, left, true))
	s.Misdirected(begin, left)
	for _, at := range []time.Duration{0, minPause, 200 * ms} {
		require.Equal(t, Waiting, s.Access(begin.Add(at), left, false))
	}
	require.Equal(t, Closed, s.Access(begin.Add(settleTime), left, false))
	require.Equal(t, Open, s.Access(begin, right, true), "other keys of the server")
}

// Guards against requests that wait for a refusal to end while no request finds out whether it has.
func TestOneRequestFindsOutWhetherRefusalEnded(t *testing.T) {
	s := New(true)
	s.Misdirected(begin, left)
	require.Equal(t, Waiting, s.Access(begin.Add(minPause-1), left, true))
	now := begin.Add(minPause)
	require.Equal(t, Open, s.Access(now, left, true))
	s.Begin(now, left)
	require.Equal(t, Waiting, s.Access(now, left, true), "one is enough")
	s.Answered(now.Add(ms), left)
	require.Equal(t, Open, s.Access(now.Add(ms), left, false))
}

// Guards against a steady stream of requests to the address of a server that has ended.
func TestAnotherServerAtTheAddress(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		s, sent, now := New(keyed), 0, begin
		for ; now < begin.Add(10*time.Second); now = now.Add(ms) {
			r := left
			if now/mono.Time(ms)%2 == 0 {
				r = right
			}
			if s.Access(now, r, true) == Open {
				s.Begin(now, r)
				s.Misdirected(now, r)
				sent++
			}
		}
		require.LessOrEqual(t, sent, 10*int(time.Second/maxPause)+10)
		require.GreaterOrEqual(t, sent, 10*int(time.Second/maxPause)-10, "finds out when it has ended")
		require.Equal(t, Closed, s.Access(now, left, false))
	}
}

// Guards against taking a server that moves many keys away for one that has ended.
func TestOtherResponsesKeepServerOpen(t *testing.T) {
	s := New(true)
	for i := range 10 {
		r := hold.Range{First: hold.Key(10 * i), Last: hold.Key(10*i + 9)}
		s.Misdirected(begin, r)
		s.Answered(begin, right)
	}
	require.Equal(t, Open, s.Access(begin, right, false))
	require.True(t, s.Identified(begin.Add(reuseTime-1)))
	require.False(t, s.Identified(begin.Add(reuseTime)))
}

// Guards against refusing a request whose owner takes its keys a moment after it refused the request.
func TestRepeatMayReachServerThatIsKnown(t *testing.T) {
	s := New(true)
	s.Answered(begin, right)
	s.Misdirected(begin, left)
	require.Equal(t, Waiting, s.Access(begin.Add(minPause-1), left, false))
	require.Equal(t, Open, s.Access(begin.Add(minPause), left, false))
	require.Equal(t, Closed, s.Access(begin.Add(reuseTime), left, false), "another server may be at the address")
}

func TestRefusalIsForgotten(t *testing.T) {
	s := New(true)
	s.Misdirected(begin, left)
	require.Equal(t, Open, s.Access(begin.Add(forgetAfter+1), left, false))
}
