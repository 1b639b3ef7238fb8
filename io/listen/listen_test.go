package listen

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// failing is a listener whose Accept fails with the errors in turn.
type failing struct {
	net.Listener
	errs []error
}

func (f *failing) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		return f.Listener.Accept()
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

func newListener(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

// Guards against a port that is closed for good because the process or the host had no descriptor, no memory or no network for a moment.
func TestTransientFailures(t *testing.T) {
	l := newListener(t)
	errs := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO, syscall.ENETDOWN}
	seen := 0
	r := Retry(&failing{Listener: l, errs: errs}, func(error) { seen++ })
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	x, err := r.Accept()
	require.NoError(t, err)
	require.NoError(t, x.Close())
	require.Equal(t, len(errs), seen)
}

// Guards against a loop that hides that a listener can't accept any more.
func TestLastingFailures(t *testing.T) {
	for _, e := range []error{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK} {
		r := Retry(&failing{Listener: newListener(t), errs: []error{e}}, func(error) {})
		_, err := r.Accept()
		require.ErrorIs(t, err, e)
	}
	l := newListener(t)
	r := Retry(l, func(error) {})
	require.NoError(t, l.Close())
	_, err := r.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}

func TestDeadline(t *testing.T) {
	r := Retry(newListener(t), func(error) {})
	require.NoError(t, r.(interface{ SetDeadline(t time.Time) error }).SetDeadline(time.Now())) //nolint:errcheck,forcetypeassert // as the package says
	_, err := r.Accept()
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.False(t, errors.Is(err, net.ErrClosed))
}
