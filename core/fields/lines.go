package fields

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineWalker records the line of each key of a file.
type lineWalker struct {
	starts []int          // byte offset of each line
	lines  map[string]int // line of each key, counted from 1, by dotted path
	lists  map[string]int // number of tables visited so far in each array of tables, by dotted path
}

// keyLines returns the line of each key, counted from 1, by dotted path. The body must be valid TOML.
func keyLines(body []byte) map[string]int {
	w := &lineWalker{starts: lineStarts(body), lines: map[string]int{}, lists: map[string]int{}}
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

// lineStarts returns the byte offset of each line.
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

// header records the lines of a table's header and returns the table's dotted path. In an array of tables, the path ends
// in the index of the table.
func (w *lineWalker) header(n *unstable.Node, list bool) string {
	path := ""
	for it := n.Key(); it.Next(); {
		k := it.Node()
		path = join(path, string(k.Data))
		w.recordLine(path, k)
		if list && it.IsLast() {
			w.lists[path]++
		}
		if c := w.lists[path]; c > 0 {
			path = fmt.Sprintf("%s[%d]", path, c-1)
			w.recordLine(path, k)
		}
	}
	return path
}

func (w *lineWalker) keyValue(prefix string, n *unstable.Node) {
	path := prefix
	for it := n.Key(); it.Next(); {
		k := it.Node()
		path = join(path, string(k.Data))
		w.recordLine(path, k)
	}
	w.value(path, n.Value())
}

func (w *lineWalker) value(path string, n *unstable.Node) {
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

// recordLine records the line of a key, unless the path has a line already.
func (w *lineWalker) recordLine(path string, k *unstable.Node) {
	if _, ok := w.lines[path]; ok {
		return
	}
	i, found := slices.BinarySearch(w.starts, int(k.Raw.Offset))
	if found {
		i++
	}
	w.lines[path] = i
}
