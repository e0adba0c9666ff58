package text

import (
	"bytes"
	"strconv"

	"github.com/pelletier/go-toml/v2/unstable"
)

// position is a place in the text. Lines and columns count from 1.
type position struct{ line, column int }

// positions maps the path of each key and array element, such as
// service[0].needs[1], to its position.
type positions map[string]position

// index returns the positions of all keys of a text, which must be valid TOML.
func index(src []byte) positions {
	ix := indexer{pos: make(positions), count: make(map[string]int), src: src, last: position{1, 1}}
	ix.parser.Reset(src)
	prefix := ""
	for ix.parser.NextExpression() {
		e := ix.parser.Expression()
		switch e.Kind {
		case unstable.Table:
			prefix = ix.key(e, "")
		case unstable.ArrayTable:
			path := ix.key(e, "")
			prefix = path + "[" + strconv.Itoa(ix.count[path]) + "]"
			ix.count[path]++
			ix.pos[prefix] = ix.pos[path]
		case unstable.KeyValue:
			ix.value(e.Value(), ix.key(e, prefix))
		}
	}
	return ix.pos
}

type indexer struct {
	parser unstable.Parser
	pos    positions
	// count is the number of elements seen of each array table.
	count map[string]int

	src []byte
	// last is the position of the byte at offset.
	last   position
	offset int
}

// place returns the position of a range. It counts lines from the previous range,
// because the parser's Shape counts from the start of the text for each range,
// which would take quadratic time in the size of the text.
func (ix *indexer) place(r unstable.Range) position {
	to := int(r.Offset)
	if to < ix.offset {
		ix.last, ix.offset = position{1, 1}, 0
	}
	between := ix.src[ix.offset:to]
	if lines := bytes.Count(between, []byte{'\n'}); lines > 0 {
		ix.last.line += lines
		ix.last.column = len(between) - bytes.LastIndexByte(between, '\n')
	} else {
		ix.last.column += len(between)
	}
	ix.offset = to
	return ix.last
}

// key records the position of an expression's key and returns its path.
func (ix *indexer) key(e *unstable.Node, prefix string) string {
	path := prefix
	for it := e.Key(); it.Next(); {
		n := it.Node()
		path = join(path, string(n.Data))
		ix.pos[path] = ix.place(n.Raw)
	}
	return path
}

// value records the positions inside arrays and inline tables.
func (ix *indexer) value(n *unstable.Node, path string) {
	switch n.Kind {
	case unstable.Array:
		i := 0
		for it := n.Children(); it.Next(); i++ {
			p := path + "[" + strconv.Itoa(i) + "]"
			ix.pos[p] = ix.pos[path]
			if raw := it.Node().Raw; raw.Length > 0 {
				ix.pos[p] = ix.place(raw)
			}
			ix.value(it.Node(), p)
		}
	case unstable.InlineTable:
		for it := n.Children(); it.Next(); {
			ix.value(it.Node().Value(), ix.key(it.Node(), path))
		}
	}
}

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}
