// Package owner decides at the home of a keyed server whether a request on a shard may start now, and when a shard
// that was moved away is released to its next owner.
package owner

import (
	"errors"

	"heatherrouter/core/ident"
)

// Row is the ownership of one shard as committed in the table.
type Row struct {
	Owner    ident.Server
	Epoch    ident.Epoch
	Previous ident.Server // must release the shard before the owner starts; empty once it has
}

// ErrMoveInProgress means that the last move of a shard has not ended.
var ErrMoveInProgress = errors.New("the previous owner has not released the shard")

// Move returns the row after a move to another server.
//
// A shard moves on only when its last move has ended: the intermediate owner may never have received its ownership,
// and would release the shard while the owner before it still works on it.
func (r Row) Move(to ident.Server) (Row, error) {
	if to == r.Owner {
		return r, nil
	}
	if r.Previous != "" {
		return r, ErrMoveInProgress
	}
	return Row{Owner: to, Epoch: r.Epoch + 1, Previous: r.Owner}, nil
}

// Released returns the row after the home of the previous owner has confirmed that it released the shard at this
// epoch. The coordinator requests the release itself, with the same ReleaseRequest as the owner.
func (r Row) Released() Row {
	r.Previous = ""
	return r
}
