package lines

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockedOutput is an output that blocks writes while mu is locked.
type blockedOutput struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *blockedOutput) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(b)
}

// Guards against requests that block because the log isn't read. While the output is blocked, each line must be queued or
// dropped without delay. The number of dropped lines must be logged once the output is read again.
func TestBlockedOutputDoesNotBlockWrites(t *testing.T) {
	out := &blockedOutput{}
	out.mu.Lock()
	w := New(out)
	start := time.Now()
	const n = 5000
	for i := range n {
		_, err := fmt.Fprintf(w, "{\"line\":%d}\n", i)
		require.NoError(t, err)
	}
	require.Less(t, time.Since(start), 500*time.Millisecond)
	out.mu.Unlock()
	require.NoError(t, w.Close())
	l := strings.Split(strings.TrimSpace(out.buf.String()), "\n")
	require.Contains(t, l[len(l)-1], fmt.Sprintf(`"lines":%d`, n-(len(l)-1)))
	require.LessOrEqual(t, len(l), 2*maxRate+1)
}
