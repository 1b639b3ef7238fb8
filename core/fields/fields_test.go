package fields_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/fields"
)

func TestLines(t *testing.T) {
	root := fields.Parse("x.toml", []byte(`a = 1
b.c = 2
d = { e = 3, f = [
  { g = 4 },
] }

[h.i]
"j k" = 5

[[l]]
m = 6
[l.n]
o = 7
[[l]]
m = 8
[[l.p]]
q = 9
`))
	require.True(t, root.Valid())
	l := root.Tables("l")
	tests := []struct {
		table *fields.Table
		key   string
		want  string
	}{
		{root, "a", "x.toml:1: a"},
		{root.Table("b"), "c", "x.toml:2: b.c"},
		{root.Table("d").Tables("f")[0], "g", "x.toml:4: d.f[0].g"},
		{root.Table("h").Table("i"), "j k", "x.toml:8: h.i.j k"},
		{l[0], "m", "x.toml:11: l[0].m"},
		{l[0].Table("n"), "o", "x.toml:13: l[0].n.o"},
		{l[1], "", "x.toml:14: l[1]"},
		{l[1], "m", "x.toml:15: l[1].m"},
		{l[1].Tables("p")[0], "q", "x.toml:17: l[1].p[0].q"},
		{l[1], "missing", "x.toml:14: l[1].missing"},
		{root, "missing", "x.toml: missing"},
		{root.Table("none").Table("none"), "missing", "x.toml: none.none.missing"},
	}
	for _, tt := range tests {
		require.Equal(t, tt.want, tt.table.Place(tt.key).String())
	}
}

func TestWrongTypes(t *testing.T) {
	root := fields.Parse("x.toml", []byte("s = 1\ni = \"x\"\nb = 1\nd = 5\nl = [1]\nt = 1\nts = [1]\nsafe = \"ok\"\n"))
	require.Empty(t, root.String("s"))
	require.Equal(t, 4, root.Int("i", 4, 0, 9))
	require.False(t, root.Bool("b"))
	require.Equal(t, time.Second, root.Duration("d", time.Second))
	require.Nil(t, root.Strings("l"))
	require.Empty(t, root.Table("t").String("x"))
	require.Nil(t, root.Tables("ts"))
	require.Equal(t, "ok", root.RequiredString("safe"))
	want := []string{
		"x.toml:1: s: must be a string",
		"x.toml:2: i: must be a whole number",
		"x.toml:3: b: must be true or false",
		`x.toml:4: d: must be a duration such as "500ms"`,
		"x.toml:5: l: must be a list of strings",
		"x.toml:6: t: must be a table",
		"x.toml:7: ts: must be a list of tables",
	}
	require.Equal(t, want, strings.Split(root.Findings().Error(), "\n"))
}

func TestSyntaxError(t *testing.T) {
	root := fields.Parse("x.toml", []byte("a = 1\na = 2\n"))
	require.False(t, root.Valid())
	require.Empty(t, root.RequiredString("a"))
	require.Len(t, root.Findings(), 1)
	require.Contains(t, root.Findings().Error(), "x.toml:2: is no valid TOML")
}
