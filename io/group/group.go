// Package group runs goroutines that stop together.
package group

import (
	"context"
	"sync"
)

// Group is a set of goroutines with one context, which ends on the first error or on Stop.
type Group struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	wait   sync.WaitGroup
}

// New returns a group whose context ends with the parent context at the latest.
func New(c context.Context) *Group {
	x, cancel := context.WithCancelCause(c)
	return &Group{ctx: x, cancel: cancel}
}

// Context returns the context of the group.
func (g *Group) Context() context.Context {
	return g.ctx
}

// Go runs f on a new goroutine; an error from it ends the whole group.
func (g *Group) Go(f func(context.Context) error) {
	g.wait.Go(func() {
		if err := f(g.ctx); err != nil {
			g.cancel(err)
		}
	})
}

// Stop ends the context and waits for all goroutines of the group.
func (g *Group) Stop() {
	g.cancel(context.Canceled)
	g.wait.Wait()
}

// Wait waits until the context has ended, and returns the cause. Goroutines that wait for something else end only when their owner ends
// that as well; Stop waits for them.
func (g *Group) Wait() error {
	<-g.ctx.Done()
	return context.Cause(g.ctx)
}
