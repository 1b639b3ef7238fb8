package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

// client is a client's connection to a daemon.
type client struct {
	daemon *daemon
	conn   net.Conn
	br     *bufio.Reader
}

func newClient(d *daemon) (*client, error) {
	c, err := dial(d.entry, 0)
	if err != nil {
		return nil, err
	}
	return &client{daemon: d, conn: c, br: bufio.NewReader(c)}, nil
}

// closed reports whether the daemon has closed the idle connection, as far as the client can see.
func (c *client) closed() bool {
	open := false
	raw, err := c.conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	cerr := raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
	})
	return cerr != nil || !open
}

// call is one attempt of a client.
type call struct {
	method, path, id string
	key              int // -1 for none
	deadline         time.Duration
	body             string
}

// send sends the request.
func (c *client) send(x call) error {
	s := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\n", x.method, x.path, host, x.id, x.deadline.Milliseconds())
	if x.key >= 0 {
		s += fmt.Sprintf("Shard-Key: %d\r\n", x.key)
	}
	if x.method != http.MethodGet {
		s += fmt.Sprintf("Content-Length: %d\r\n", len(x.body))
	}
	_, err := c.conn.Write([]byte(s + "\r\n" + x.body))
	return err
}

// receive reads the whole response until the deadline.
func (c *client) receive(x call) (*http.Response, []byte, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(x.deadline))
	r, err := http.ReadResponse(c.br, &http.Request{Method: x.method})
	if err != nil {
		return nil, nil, err
	}
	b, err := io.ReadAll(r.Body)
	return r, b, err
}

func (c *client) do(x call) (*http.Response, []byte, error) {
	if err := c.send(x); err != nil {
		return nil, nil, err
	}
	return c.receive(x)
}

// outcome describes the end of an attempt.
func outcome(r *http.Response, err error) string {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "no answer by the deadline"
	case err != nil:
		return "the connection ends without a whole answer: " + err.Error()
	}
	return fmt.Sprintf("status %d", r.StatusCode)
}
