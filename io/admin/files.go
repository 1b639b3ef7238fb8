package admin

import (
	"heatherrouter/core/check"
	"heatherrouter/core/config"
)

// ParseFiles parses service files, each by itself. A file that is no valid service is left out of the list.
func ParseFiles(files []File) ([]*config.Service, check.Findings) {
	var l []*config.Service
	var f check.Findings
	for _, x := range files {
		s, found := config.Parse(x.Path, []byte(x.Body))
		f = append(f, found...)
		if s != nil {
			l = append(l, s)
		}
	}
	return l, f
}
