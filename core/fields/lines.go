package fields

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineWalk notes the line of each key of a file by its dotted path.
type lineWalk struct {
	starts []int // offset of each line
	lines  map[string]int
	lists  map[string]int // tables so far in each list of tables
}

// keyLines returns the line of each key, counted from 1. The body has been parsed before without an error.
func keyLines(body []byte) map[string]int {
	w := &lineWalk{starts: lineStarts(body), lines: map[string]int{}, lists: map[string]int{}}
	var p unstable.Parser
	p.Reset(body)
	prefix := ""
	for p.NextExpression() {
		switch n := p.Expression(); n.Kind {
		case unstable.Table:
			prefix = w.header(n, false)
		case unstable.ArrayTable:
			prefix = w.header(n, true)
		case unstable.KeyValue:
			w.keyValue(prefix, n)
		}
	}
	return w.lines
}

func lineStarts(body []byte) []int {
	l := []int{0}
	for i := 0; ; {
		j := bytes.IndexByte(body[i:], '\n')
		if j < 0 {
			return l
		}
		i += j + 1
		l = append(l, i)
	}
}

// header notes a table's header and returns its path.
func (w *lineWalk) header(n *unstable.Node, list bool) string {
	path := ""
	for it := n.Key(); it.Next(); {
		k := it.Node()
		path = join(path, string(k.Data))
		w.note(path, k)
		if list && it.IsLast() {
			w.lists[path]++
		}
		if c := w.lists[path]; c > 0 {
			path = fmt.Sprintf("%s[%d]", path, c-1)
			w.note(path, k)
		}
	}
	return path
}

func (w *lineWalk) keyValue(prefix string, n *unstable.Node) {
	path := prefix
	for it := n.Key(); it.Next(); {
		k := it.Node()
		path = join(path, string(k.Data))
		w.note(path, k)
	}
	w.value(path, n.Value())
}

func (w *lineWalk) value(path string, n *unstable.Node) {
	switch n.Kind {
	case unstable.InlineTable:
		for it := n.Children(); it.Next(); {
			w.keyValue(path, it.Node())
		}
	case unstable.Array:
		i := 0
		for it := n.Children(); it.Next(); i++ {
			if c := it.Node(); c.Kind == unstable.InlineTable || c.Kind == unstable.Array {
				w.value(fmt.Sprintf("%s[%d]", path, i), c)
			}
		}
	}
}

func (w *lineWalk) note(path string, k *unstable.Node) {
	if _, ok := w.lines[path]; ok {
		return
	}
	i, found := slices.BinarySearch(w.starts, int(k.Raw.Offset))
	if found {
		i++
	}
	w.lines[path] = i
}
