package buffer

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/mono"
)

const smallestDaemon Bytes = 144 << 20 / 4 // limit of a daemon with 144 MB

// holding is the bytes of a request until its end.
type holding struct {
	end   mono.Time
	bytes Bytes
}

// holdings is a heap by end.
type holdings []holding

func (h holdings) Len() int           { return len(h) }
func (h holdings) Less(i, j int) bool { return h[i].end < h[j].end }
func (h holdings) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *holdings) Push(x any)        { *h = append(*h, x.(holding)) }
func (h *holdings) Pop() any {
	l := *h
	x := l[len(l)-1]
	*h = l[:len(l)-1]
	return x
}

// stream is requests of one priority that arrive at a mean rate.
type stream struct {
	priority      int
	perSecond     float64
	min, max      Bytes
	response      Bytes
	time          time.Duration // mean time from arrival to the end
	leave         float64       // share of callers that leave within a tenth of it
	sent, refused int
	lostResponses int
}

// play runs the streams for a time on a Budget and checks the sum at each step.
func play(t *testing.T, b *Budget, span time.Duration, streams ...*stream) {
	t.Helper()
	d := rand.New(rand.NewPCG(1, 2))
	var ends holdings
	start := mono.Time(time.Hour)
	const step = time.Millisecond
	for now := start; now < start.Add(span); now = now.Add(step) {
		for len(ends) > 0 && ends[0].end <= now {
			b.Release(heap.Pop(&ends).(holding).bytes)
		}
		for _, s := range streams {
			for range poisson(d, s.perSecond*step.Seconds()) {
				s.arrive(b, now, d, &ends)
				require.LessOrEqual(t, b.State().Held, b.State().Limit)
			}
		}
	}
	for len(ends) > 0 {
		b.Release(heap.Pop(&ends).(holding).bytes)
	}
	require.Zero(t, b.State().Held, "everything is returned")
}

func (s *stream) arrive(b *Budget, now mono.Time, d *rand.Rand, ends *holdings) {
	s.sent++
	n := s.min + Bytes(d.Int64N(int64(s.max-s.min+1)))
	if !b.ReserveRequest(now, s.priority, 0, n) {
		s.refused++
		return
	}
	took := time.Duration(d.ExpFloat64() * float64(s.time))
	if d.Float64() < s.leave {
		heap.Push(ends, holding{now.Add(took / 10), n})
		return
	}
	if !b.ReserveResponse(now, s.priority, n, s.response) {
		s.lostResponses++
	} else {
		n += s.response
	}
	heap.Push(ends, holding{now.Add(took), n})
}

func poisson(d *rand.Rand, mean float64) int {
	n := 0
	for x := d.ExpFloat64(); x < mean; x += d.ExpFloat64() {
		n++
	}
	return n
}

// Guards against a burst of uploads that fills a daemon of 144 MB: 250 uploads of 60 to 360 KB per second, which take 1.5 s each, are three
// times as much as fits. Requests of priorities 0 and 1 must all get in, the sum stays within the limit, and responses are delivered.
func TestBurstOfUploadsOnDaemonOf144MB(t *testing.T) {
	live := &stream{priority: 0, perSecond: 60, min: 1 << 10, max: 9 << 10, response: 30 << 10, time: 300 * time.Millisecond}
	normal := &stream{priority: 1, perSecond: 60, min: 1 << 10, max: 9 << 10, response: 9 << 10, time: 300 * time.Millisecond}
	uploads := &stream{priority: 2, perSecond: 250, min: 60 << 10, max: 360 << 10, response: 1 << 10, time: 1500 * time.Millisecond}
	b := New(smallestDaemon)
	play(t, b, 20*time.Second, live, normal, uploads)
	require.Zero(t, live.refused+live.lostResponses, "of %d", live.sent)
	require.Zero(t, normal.refused+normal.lostResponses, "of %d", normal.sent)
	require.Zero(t, uploads.lostResponses)
	require.InDelta(t, 0.65, float64(uploads.refused)/float64(uploads.sent), 0.1, "the rest is refused")
	require.Equal(t, [Classes]uint64{0, 0, uint64(uploads.refused)}, b.State().Refused)
}

// Guards against bytes that are never given back when callers leave: two of three uploads of 60 to 360 KB end after a tenth of their time.
func TestUploadsWhoseCallersLeave(t *testing.T) {
	stay := &stream{priority: 2, perSecond: 50, min: 60 << 10, max: 360 << 10, response: 1 << 10, time: 1500 * time.Millisecond}
	leave := &stream{priority: 2, perSecond: 100, min: 60 << 10, max: 360 << 10, time: 1500 * time.Millisecond, leave: 1}
	play(t, New(smallestDaemon), 60*time.Second, stay, leave)
	require.Less(t, float64(stay.refused), 0.2*float64(stay.sent))
}

// Guards against urgent requests that are refused because less urgent ones of all priorities, three times what fits, have taken the whole
// limit. Each class is refused at most as often as the next one.
func TestOverloadOfAllPriorities(t *testing.T) {
	var l []*stream
	for p := range 5 {
		l = append(l, &stream{priority: p, perSecond: 100, min: 60 << 10, max: 360 << 10, time: time.Second})
	}
	l[0].perSecond = 20
	play(t, New(smallestDaemon), 20*time.Second, l...)
	require.Less(t, float64(l[0].refused), 0.05*float64(l[0].sent))
	for i := 1; i < Classes; i++ {
		require.Less(t, float64(l[i-1].refused)/float64(l[i-1].sent), float64(l[i].refused)/float64(l[i].sent))
	}
	for _, s := range l[Classes:] {
		require.InDelta(t, float64(l[Lowest].refused)/float64(l[Lowest].sent), float64(s.refused)/float64(s.sent), 0.06, "priority %d counts as the lowest", s.priority)
	}
}

func TestSharesOfTheLimit(t *testing.T) {
	for priority, share := range map[int]Bytes{-1: 1000, 0: 1000, 1: 900, 2: 800, 3: 800, 1 << 30: 800} {
		b := New(1000)
		require.False(t, b.ReserveRequest(1, priority, 0, share+1), "priority %d", priority)
		require.True(t, b.ReserveRequest(1, priority, 0, share), "priority %d", priority)
		require.False(t, b.ReserveRequest(1, priority, share, 1), "priority %d", priority)
		response := min(1000, share+100) - share
		require.False(t, b.ReserveResponse(1, priority, share, response+1), "priority %d", priority)
		require.True(t, b.ReserveResponse(1, priority, share, response), "priority %d", priority)
		b.Release(share + response)
		require.Zero(t, b.State().Held)
	}
}

// Guards against small requests that are refused because large bodies have taken the whole limit, and against small ones that take more
// than a tenth beyond it or are all of the lowest priority.
func TestSmallRequestsBesideLargeBodies(t *testing.T) {
	const limit, small = 36 << 20, 36 << 20 / smallPart
	for priority, want := range map[int]int{0: 100, 1: 50, 2: 0, 7: 0} {
		b := New(limit)
		require.True(t, b.ReserveRequest(1, 0, 0, limit))
		n := 0
		for b.ReserveRequest(1, priority, 0, small) {
			n++
		}
		require.InDelta(t, want, n, 1, "priority %d", priority)
		require.False(t, b.ReserveRequest(1, 0, 0, small+1), "not small")
		require.False(t, b.ReserveRequest(1, 0, small, 1), "no longer small")
		require.False(t, b.ReserveResponse(1, 0, small, 1), "no longer small")
		require.LessOrEqual(t, b.State().Held, Bytes(limit+limit/10))
	}
	b := New(limit)
	require.True(t, b.ReserveRequest(1, 2, 0, limit/2))
	require.True(t, b.ReserveRequest(1, 1, 0, limit/3))
	require.True(t, b.ReserveRequest(1, 2, 0, small), "a small request of the lowest priority beside large ones")
}

// Guards against callers that take the buffers of others by not reading, and against disconnecting slow callers while there is room.
func TestCallersThatDoNotRead(t *testing.T) {
	start := mono.Time(time.Hour)
	for _, x := range []struct {
		name     string
		every    time.Duration // between two reads
		bytes    Bytes         // of each
		short    time.Duration // when a request is refused, after the start; negative for never
		reclaims time.Duration // when the caller is disconnected; 0 for not within a minute
	}{
		{"reads nothing", time.Hour, 0, 0, readTime},
		{"reads nothing while there is room", time.Hour, 0, -1, 0},
		{"reads nothing, a request is refused later", time.Hour, 0, 20 * time.Second, 20 * time.Second},
		{"reads less than 1 KB in 5 s", time.Second, 150, 0, readTime},
		{"reads 1 KB in 5 s", time.Second, 256, 0, 0},
		{"reads 1 KB in one piece", 4 * time.Second, 1 << 10, 0, 0},
	} {
		b, r := New(100), Reader{}
		r.Begin(start)
		reclaimed := time.Duration(0)
		for d := time.Duration(0); d < time.Minute && reclaimed == 0; d += 100 * time.Millisecond {
			now := start.Add(d)
			if x.short >= 0 && d >= x.short {
				require.False(t, b.ReserveRequest(now, 0, 0, 101))
			}
			if d > 0 && d%x.every == 0 {
				r.Read(now, x.bytes)
			}
			if b.Reclaims(now, &r) {
				reclaimed = d
			}
		}
		require.Equal(t, x.reclaims, reclaimed, x.name)
	}
}

// Guards against disconnecting a caller for a shortage that is over.
func TestShortageEnds(t *testing.T) {
	start := mono.Time(time.Hour)
	b, r := New(100), Reader{}
	r.Begin(start)
	require.False(t, b.ReserveRequest(start, 0, 0, 101))
	require.False(t, b.Reclaims(start.Add(readTime+shortTime), &r))
}
