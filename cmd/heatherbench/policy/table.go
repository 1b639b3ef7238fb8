package policy

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

// table collects the figures of all systems.
type table struct {
	systems []string
	rows    []*row
}

type row struct {
	scenario, figure, target string
	values                   map[string]string
}

func newTable() *table { return &table{} }

// put notes one figure of the system under measurement, and shows it at once.
func (b *bench) put(scenario, figure, target, value string) {
	fmt.Fprintf(b.out, "  %s: %s: %s: %s\n", b.name, scenario, figure, value)
	for _, r := range b.table.rows {
		if r.scenario == scenario && r.figure == figure {
			r.values[b.name] = value
			return
		}
	}
	b.table.rows = append(b.table.rows, &row{scenario, figure, target, map[string]string{b.name: value}})
}

func (t *table) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "\nscenario\tfigure\ttarget\t%s\n", strings.Join(t.systems, "\t"))
	for _, r := range t.rows {
		fmt.Fprintf(w, "%s\t%s\t%s", r.scenario, r.figure, r.target)
		for _, s := range t.systems {
			v := r.values[s]
			if v == "" {
				v = "-"
			}
			fmt.Fprintf(w, "\t%s", v)
		}
		fmt.Fprintln(w)
	}
	return trace.Wrap(w.Flush())
}
