// Package explain is the command "request explain".
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"heatherrouter/cmd/heatherrouter/cli"
)

// maxLine bounds a log line in bytes; longer ones end the reading with an error.
const maxLine = 1 << 20

// Options of the command.
type Options struct {
	ID     string        `arg:"" help:"Id of the request."`
	Files  []string      `arg:"" optional:"" type:"path" help:"Logs of daemons; standard input without any."`
	Before time.Duration `default:"5s" help:"For how long before the request's end other lines about its servers are shown."`
	JSON   bool          `name:"json" help:"Print the lines as they are."`
}

// Help implements kong.HelpProvider.
func (*Options) Help() string {
	return `Prints what the logs of the daemons tell of one request, in order: each send that failed, its end, and what the daemons
learned shortly before of the servers that it was sent to and of the coordinator.

Examples:

    heatherrouter request explain 9c41d07be2a35f68 daemon-*.log
    collect-logs --since 10m | heatherrouter request explain 9c41d07be2a35f68`
}

// line is one log line, as far as it is looked at.
type line struct {
	Time       time.Time `json:"time"`
	Daemon     string    `json:"daemon"`
	Message    string    `json:"message"`
	RequestID  string    `json:"request-id"`
	Server     string    `json:"server"`
	LastServer string    `json:"last-server"`

	// Servers whose entries changed, several in one line.
	Ready    []string `json:"ready-servers"`
	Draining []string `json:"draining-servers"`
	Gone     []string `json:"gone-servers"`

	raw string
}

// servers returns the servers that the line is about; none for a line about the site.
func (x *line) servers() []string {
	l := slices.Concat(x.Ready, x.Draining, x.Gone)
	if x.Server != "" {
		l = append(l, x.Server)
	}
	return l
}

// Run prints the lines.
func (o *Options) Run(e *cli.Env) error {
	var own, others []line
	take := func(x line) {
		switch x.RequestID {
		case o.ID:
			own = append(own, x)
		case "":
			others = append(others, x)
		}
	}
	if err := o.read(e.In, take); err != nil {
		return err
	}
	if len(own) == 0 {
		return trace.NotFound("no line is about request %s; a request that was answered leaves none, and lines that were left out "+
			"are counted by a line \"log lines left out\"", o.ID)
	}
	l := slices.Concat(own, o.around(own, others))
	slices.SortStableFunc(l, func(a, b line) int { return a.Time.Compare(b.Time) })
	if o.JSON {
		for _, x := range l {
			if _, err := fmt.Fprintln(e.Out, x.raw); err != nil {
				return err
			}
		}
		return nil
	}
	t := cli.NewTable("TIME", "DAEMON", "WHAT", "WITH")
	for _, x := range l {
		t.Add(x.Time.Format("15:04:05.000"), x.Daemon, x.Message, x.details())
	}
	return t.Print(e)
}

// around returns the lines about the request's servers, and about the site, of the time before its end.
func (o *Options) around(own, others []line) []line {
	end := slices.MaxFunc(own, func(a, b line) int { return a.Time.Compare(b.Time) }).Time
	var servers []string
	for _, x := range own {
		servers = append(servers, x.Server, x.LastServer)
	}
	return slices.DeleteFunc(others, func(x line) bool {
		if x.Time.After(end) || x.Time.Before(end.Add(-o.Before)) {
			return true
		}
		about := x.servers()
		return len(about) > 0 && !slices.ContainsFunc(about, func(s string) bool { return slices.Contains(servers, s) })
	})
}

// read hands on each line of the files, or of the input.
func (o *Options) read(in io.Reader, take func(line)) error {
	if len(o.Files) == 0 {
		return scan(in, take)
	}
	for _, p := range o.Files {
		f, err := os.Open(p)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		err = scan(f, take)
		f.Close()
		if err != nil {
			return trace.Wrap(err, "%s", p)
		}
	}
	return nil
}

// scan passes over lines that are no log lines: collectors put their own between them.
func scan(in io.Reader, take func(line)) error {
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		raw := s.Text()
		i := strings.IndexByte(raw, '{') // some collectors put a time and a name in front
		if i < 0 {
			continue
		}
		x := line{raw: raw[i:]}
		if json.Unmarshal([]byte(x.raw), &x) == nil && x.Message != "" {
			take(x)
		}
	}
	return trace.Wrap(s.Err())
}

// details returns the other fields of the line, by name.
func (x *line) details() string {
	m := map[string]any{}
	if json.Unmarshal([]byte(x.raw), &m) != nil {
		return ""
	}
	var l []string
	for k, v := range m {
		switch k {
		case "time", "daemon", "message", "level", "request-id":
			continue
		}
		if v == nil || v == "" {
			continue
		}
		l = append(l, fmt.Sprintf("%s=%v", k, v))
	}
	slices.Sort(l)
	return strings.Join(l, " ")
}
