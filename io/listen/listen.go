// Package listen accepts connections through failures that pass, such as a lack of descriptors.
package listen

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// retryPause is the delay after a failure to accept, which the next call may not have.
const retryPause = 20 * time.Millisecond

// Retry returns a listener whose Accept fails only if no later call can succeed, or at a deadline. failed is called after each other
// failure; nil for no call.
func Retry(l net.Listener, failed func(error)) net.Listener {
	return &retrying{Listener: l, failed: failed}
}

type retrying struct {
	net.Listener
	failed func(error)
}

// Accept implements net.Listener.
func (r *retrying) Accept() (net.Conn, error) {
	for {
		c, err := r.Listener.Accept()
		if err == nil || !IsTransient(err) {
			return c, err
		}
		if r.failed != nil {
			r.failed(err)
		}
		time.Sleep(retryPause)
	}
}

// SetDeadline sets the time at which a waiting Accept fails.
func (r *retrying) SetDeadline(t time.Time) error {
	l, ok := r.Listener.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return l.SetDeadline(t)
}

// IsTransient reports whether a listener may accept connections after its Accept has failed with err. All errors of the system are
// transient but those that say that the descriptor is no listening socket: accept also returns errors of the network, and of the process's or
// the host's resources.
func IsTransient(err error) bool {
	var n syscall.Errno
	if !errors.As(err, &n) {
		return false
	}
	switch n {
	case syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT:
		return false
	}
	return true
}
