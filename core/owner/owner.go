// Package owner is the home's gate for the shards of a keyed service: it decides whether a request on a shard may
// start now, and when a shard that has moved away is released to its next owner.
package owner

import (
	"errors"

	"heatherrouter/core/ident"
)

// Row is the table's decision who owns a shard.
type Row struct {
	Owner    ident.Server
	Epoch    ident.Epoch
	Previous ident.Server // must release the shard before the owner starts; empty when it has
}

// ErrMoving tells that the last move of a shard has not ended yet.
var ErrMoving = errors.New("the previous owner has not released the shard")

// Move returns the row after a move to another server.
//
// A shard moves on only when its last move has ended: the owner in the middle may never have heard that it owned the
// shard, and would release it while the one before it is still at work.
func (r Row) Move(to ident.Server) (Row, error) {
	if to == r.Owner {
		return r, nil
	}
	if r.Previous != "" {
		return r, ErrMoving
	}
	return Row{Owner: to, Epoch: r.Epoch + 1, Previous: r.Owner}, nil
}

// Released returns the row after the home of the previous owner has answered that it released the shard at this
// epoch. The coordinator asks for the release itself, with the same Want as the owner.
func (r Row) Released() Row {
	r.Previous = ""
	return r
}
