// Command stand plays one review case: it starts daemons as processes on stand-ins of the platform, and judges what clients and
// upstreams see.
//
//	stand CASE DIR
//
// CASE names the case, DIR is the folder of its record. The environment variable TROUBLE=0 leaves out the disruption. The exit code is
// 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// limit bounds the whole run.
const limit = 110 * time.Second

// play runs a case and returns the breaches of its rule.
type play func(w *world) ([]string, error)

var plays = map[string]play{
	"slow-reader":    slowReader,
	"second-answer":  secondAnswer,
	"restart-move":   restartMove,
	"pipelined":      pipelined,
	"second-release": secondRelease,
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE DIR")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, dir string) int {
	r, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, disruption %v", name, trouble)
	w, err := newWorld(r, trouble)
	if err != nil {
		r.add("not run: %v", err)
		return exitNotRun
	}
	defer w.stop()
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		breaches []string
		err      error
	}
	done := make(chan result, 1)
	go func() {
		b, err := plays[name](w)
		done <- result{b, err}
	}()
	var x result
	select {
	case x = <-done:
	case s := <-ends:
		x.err = fmt.Errorf("ended by %v", s)
	case <-time.After(limit):
		x.err = fmt.Errorf("not finished within %v", limit)
	}
	if x.err != nil {
		r.add("not run: %v", x.err)
		return exitNotRun
	}
	for _, b := range x.breaches {
		r.add("BROKEN %s", b)
	}
	if len(x.breaches) > 0 {
		r.add("rule broken, %d times", len(x.breaches))
		return exitBroken
	}
	r.add("rule held")
	return exitHeld
}

// record is the account of a run, one line an event, with seconds since its start.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{began: time.Now(), file: f}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
}

func (r *record) close() { r.file.Close() }
