package docs_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
)

func TestApply(t *testing.T) {
	base := docs.New("part/a")
	base.Rev = 3
	base.Rows["x"] = docs.Row{Rev: 2, Body: []byte("old")}
	row := map[ident.Row]docs.Row{"x": {Rev: 4, Body: []byte("new")}}

	tests := []struct {
		name    string
		delta   docs.Delta
		changed bool
		body    string
	}{
		{"next", docs.Delta{Name: "part/a", From: 3, Rev: 4, Rows: row}, true, "new"},
		{"again", docs.Delta{Name: "part/a", From: 0, Rev: 3, Rows: row}, false, "old"},
		{"gap", docs.Delta{Name: "part/a", From: 4, Rev: 5, Rows: row}, false, "old"},
		{"other document", docs.Delta{Name: "part/b", From: 3, Rev: 4, Rows: row}, false, "old"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n, changed := base.Apply(tt.delta)
			require.Equal(t, tt.changed, changed)
			require.Equal(t, tt.body, string(n.Body("x")))
			require.Equal(t, "old", string(base.Body("x")), "Apply must not change its receiver")
		})
	}
}
