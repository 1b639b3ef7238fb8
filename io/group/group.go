// Package group runs duties that stop together.
package group

import (
	"context"
	"sync"
)

// Group is a set of goroutines with one context: the first error, or Stop, ends all of them.
type Group struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	wait   sync.WaitGroup
}

// New returns a group whose duties end with the parent context at the latest.
func New(c context.Context) *Group {
	x, cancel := context.WithCancelCause(c)
	return &Group{ctx: x, cancel: cancel}
}

// Context returns the context that ends with the group.
func (g *Group) Context() context.Context {
	return g.ctx
}

// Go starts a duty; an error from it ends the whole group.
func (g *Group) Go(f func(context.Context) error) {
	g.wait.Go(func() {
		if err := f(g.ctx); err != nil {
			g.cancel(err)
		}
	})
}

// Stop ends the group and waits for its duties.
func (g *Group) Stop() {
	g.cancel(context.Canceled)
	g.wait.Wait()
}

// Wait waits until the group has ended and returns why.
func (g *Group) Wait() error {
	<-g.ctx.Done()
	g.wait.Wait()
	return context.Cause(g.ctx)
}
