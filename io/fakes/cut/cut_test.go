package cut_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/io/fakes"
	"heatherrouter/io/fakes/cut"
)

const short = 100 * time.Millisecond

// echoTCP answers every connection with what it sends.
func echoTCP(t *testing.T) string {
	l, err := net.Listen("tcp", fakes.AnyPort)
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func echoUDP(t *testing.T) string {
	c, err := net.ListenPacket("udp", fakes.AnyPort)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	go func() {
		b := make([]byte, 2048)
		for {
			n, a, err := c.ReadFrom(b)
			if err != nil {
				return
			}
			_, _ = c.WriteTo(b[:n], a)
		}
	}()
	return c.LocalAddr().String()
}

func start(t *testing.T, network string) cut.Relay {
	var r cut.Relay
	var err error
	if network == "tcp" {
		r, err = cut.NewTCP(fakes.AnyPort, echoTCP(t))
	} else {
		r, err = cut.NewUDP(fakes.AnyPort, echoUDP(t))
	}
	require.NoError(t, err)
	t.Cleanup(r.Close)
	return r
}

func dial(t *testing.T, network string, r cut.Relay) net.Conn {
	c, err := net.Dial(network, r.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

// echoes sends a word and reports whether it comes back within the time.
func echoes(t *testing.T, c net.Conn, word string, within time.Duration) bool {
	t.Helper()
	_, err := c.Write([]byte(word))
	require.NoError(t, err)
	return reads(t, c, word, within)
}

func reads(t *testing.T, c net.Conn, word string, within time.Duration) bool {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(within)))
	b := make([]byte, len(word))
	_, err := io.ReadFull(c, b)
	if err != nil {
		var e net.Error
		require.ErrorAs(t, err, &e)
		require.True(t, e.Timeout(), "a cut must be silent: %v", err)
		return false
	}
	require.Equal(t, word, string(b))
	return true
}

func TestCutAndHeal(t *testing.T) {
	for _, network := range []string{"tcp", "udp"} {
		for _, w := range []cut.Way{cut.Forward, cut.Back, cut.Both} {
			t.Run(network, func(t *testing.T) {
				r := start(t, network)
				c := dial(t, network, r)
				require.True(t, echoes(t, c, "one", time.Second))
				r.Cut(w)
				require.False(t, echoes(t, c, "two", short))
				r.Heal()
				if network == "tcp" {
					require.True(t, reads(t, c, "two", time.Second), "held, and delivered after the heal")
				}
				require.True(t, echoes(t, c, "three", time.Second))
			})
		}
	}
}

// A cut of one direction lets the other through: the echo of what was sent before it still comes.
func TestCutOneWay(t *testing.T) {
	for _, network := range []string{"tcp", "udp"} {
		t.Run(network, func(t *testing.T) {
			r := start(t, network)
			c := dial(t, network, r)
			require.True(t, echoes(t, c, "one", time.Second))
			r.Delay(cut.Back, short)
			_, err := c.Write([]byte("two"))
			require.NoError(t, err)
			time.Sleep(short / 2)
			r.Cut(cut.Forward)
			require.True(t, reads(t, c, "two", time.Second))
			require.False(t, echoes(t, c, "three", 2*short))
		})
	}
}

func TestDelay(t *testing.T) {
	for _, network := range []string{"tcp", "udp"} {
		t.Run(network, func(t *testing.T) {
			r := start(t, network)
			c := dial(t, network, r)
			r.Delay(cut.Both, short)
			began := time.Now()
			require.True(t, echoes(t, c, "one", 5*time.Second))
			require.GreaterOrEqual(t, time.Since(began), 2*short)
		})
	}
}

func TestSilence(t *testing.T) {
	for _, network := range []string{"tcp", "udp"} {
		t.Run(network, func(t *testing.T) {
			r := start(t, network)
			c := dial(t, network, r)
			require.True(t, echoes(t, c, "one", time.Second))
			r.Silence()
			require.False(t, echoes(t, c, "two", short))
			r.Heal()
			require.False(t, echoes(t, c, "three", short), "a heal does not bring it back")
			require.True(t, echoes(t, dial(t, network, r), "one", time.Second))
		})
	}
}

// Without a cut the relay passes on how a connection ends, and that nobody listens.
func TestTCPEnds(t *testing.T) {
	r := start(t, "tcp")
	c := dial(t, "tcp", r).(*net.TCPConn)
	_, err := c.Write([]byte("last"))
	require.NoError(t, err)
	require.NoError(t, c.CloseWrite())
	b, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "last", string(b))

	nobody, err := cut.NewTCP(fakes.AnyPort, "127.0.0.1:1")
	require.NoError(t, err)
	t.Cleanup(nobody.Close)
	// The reset may come before the connecting side has seen that it is connected.
	d, err := net.Dial("tcp", nobody.Addr())
	if err == nil {
		defer d.Close()
		require.NoError(t, d.SetReadDeadline(time.Now().Add(time.Second)))
		_, err = d.Read(b)
	}
	require.ErrorContains(t, err, "reset")
}

func TestControl(t *testing.T) {
	r := start(t, "udp")
	h := httptest.NewServer(cut.Control(r))
	t.Cleanup(h.Close)
	c := dial(t, "udp", r)
	post := func(body string) int {
		a, err := http.Post(h.URL, "application/json", strings.NewReader(body))
		require.NoError(t, err)
		defer a.Body.Close()
		return a.StatusCode
	}
	require.Equal(t, http.StatusNoContent, post(`{"cut":"both"}`))
	require.False(t, echoes(t, c, "one", short))
	require.Equal(t, http.StatusNoContent, post(`{}`))
	require.True(t, echoes(t, c, "two", time.Second))
	require.Equal(t, http.StatusBadRequest, post(`{"cut":"up"}`))
}
