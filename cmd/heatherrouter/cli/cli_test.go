package cli_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"heatherrouter/cmd/heatherrouter/cli"
)

func TestTable(t *testing.T) {
	tbl := cli.NewTable("NAME", "N", "NOTE")
	tbl.Add("käru", 1, "")
	tbl.Add("b", 22, "tab\there \x1b[31m")

	var out bytes.Buffer
	require.NoError(t, tbl.Print(&cli.Env{Out: &out}))
	require.Equal(t, "käru\t1\t\nb\t22\ttab here  [31m\n", out.String())

	out.Reset()
	require.NoError(t, tbl.Print(&cli.Env{Out: &out, Terminal: true}))
	require.Equal(t, "NAME  N   NOTE\nkäru  1\nb     22  tab here  [31m\n", out.String())
}

func TestJSON(t *testing.T) {
	type row struct {
		Name string `json:"name"`
		By   string `json:"drained-by,omitempty"`
		N    int    `json:"n"`
	}
	l := []row{{Name: "a", N: 1}, {Name: "b", By: "anna"}}
	tests := []struct {
		name   string
		fields []string
		v      any
		want   string
	}{
		{"list", []string{"name", "drained-by"}, l, `[{"drained-by":null,"name":"a"},{"drained-by":"anna","name":"b"}]`},
		{"all", []string{"*"}, l[0], `{"name":"a","n":1}`},
		{"object", []string{"n"}, l[0], `{"n":1}`},
		{"empty", []string{"n"}, []row{}, `[]`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			j := cli.JSON{JSON: tt.fields}
			require.NoError(t, j.Print(&cli.Env{Out: &out}, tt.v))
			require.Equal(t, tt.want+"\n", out.String())
		})
	}
	j := cli.JSON{JSON: []string{"nam"}}
	require.EqualError(t, j.Print(&cli.Env{}, l), `--json knows no field "nam"; there are: name, drained-by, n`)
}

func TestCollect(t *testing.T) {
	dir := t.TempDir()
	for _, p := range []string{"a/heatherrouter.toml", "a/b/heatherrouter.toml", "a/.git/heatherrouter.toml", "a/other.toml"} {
		p = filepath.Join(dir, p)
		require.NoError(t, os.MkdirAll(filepath.Dir(p), 0o755))
		require.NoError(t, os.WriteFile(p, []byte("x"), 0o600))
	}
	t.Chdir(dir)
	l, err := cli.Collect([]string{"a/b", "a", "./a", "a/other.toml"})
	require.NoError(t, err)
	var paths []string
	for _, f := range l {
		paths = append(paths, f.Path)
	}
	require.Equal(t, []string{"a/b/heatherrouter.toml", "a/heatherrouter.toml", "a/other.toml"}, paths)

	require.NoError(t, os.Mkdir("empty", 0o755))
	for _, p := range []string{"empty", "none"} {
		_, err = cli.Collect([]string{"a", p})
		require.ErrorContains(t, err, p)
	}
}
