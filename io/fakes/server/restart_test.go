package server_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/io/fakes"
	"heatherrouter/io/fakes/server"
)

// The caller sees a reset at once, and the log shows that the work ended with the process that did it.
func TestRestartEndsWork(t *testing.T) {
	s := start(t, server.Options{ServiceTime: server.Fixed(10 * time.Second)})
	c := newClient(t, 5*time.Second)
	done := make(chan error)
	go func() {
		_, err := ask(t, c, http.MethodPost, s.URL()+"/x", "")
		done <- err
	}()
	require.Eventually(t, func() bool { return s.InFlight() == 1 }, time.Second, time.Millisecond)
	s.Restart(0, false)
	require.Error(t, <-done)
	require.Eventually(t, func() bool { return s.InFlight() == 0 }, time.Second, time.Millisecond)
	require.Equal(t, fakes.FailedOutcome, s.Log()[0].Outcome)
}

// A request that the former life has read and not begun never runs: the next life would answer for a sender it hasn't.
func TestRestartDropsUnbegunWork(t *testing.T) {
	s := start(t, server.Options{ServiceTime: server.Fixed(20 * time.Millisecond)})
	c := newClient(t, 5*time.Second)
	get(t, c, s.URL()+"/x")
	s.Update(func(f *server.Faults) { f.Freeze = true })
	done := make(chan error)
	go func() {
		_, err := ask(t, c, http.MethodPost, s.URL()+"/x", "")
		done <- err
	}()
	time.Sleep(100 * time.Millisecond) // until it waits at the gate
	s.Restart(0, false)
	s.Update(func(f *server.Faults) { f.Freeze = false })
	require.Error(t, <-done)
	get(t, newClient(t, time.Second), s.URL()+"/x")
	l := s.Log()
	require.Len(t, l, 2, "%+v", l)
	require.Equal(t, fakes.AnsweredOutcome, l[1].Outcome)
}

// A sender that has closed its side gets no empty answer, which would pass for that of finished work.
func TestUnfinishedWorkIsNotAnswered(t *testing.T) {
	s := start(t, server.Options{ServiceTime: server.Fixed(time.Second)})
	c, err := net.Dial("tcp", s.Addr())
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.InFlight() == 1 }, time.Second, time.Millisecond)
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	b, _ := io.ReadAll(c) // ends with a reset
	require.Empty(t, string(b))
	require.Equal(t, fakes.CancelledOutcome, s.Log()[0].Outcome)
}
