package cli

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"heatherrouter/core/check"
	"heatherrouter/core/config"
	"heatherrouter/io/admin"
)

// ServiceFile is the name of a service file beside the service's code.
const ServiceFile = "heatherrouter.toml"

// Collect reads the service files in the trees. A path may also name one file itself.
func Collect(paths []string) ([]admin.File, error) {
	var l []string
	for _, p := range paths {
		found, err := find(p)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if len(found) == 0 {
			return nil, trace.BadParameter("there is no %s under %s", ServiceFile, p)
		}
		l = append(l, found...)
	}
	slices.Sort(l)
	l = slices.Compact(l) // trees may overlap

	files := make([]admin.File, 0, len(l))
	for _, p := range l {
		b, err := os.ReadFile(p)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		files = append(files, admin.File{Path: filepath.ToSlash(p), Body: string(b)})
	}
	return files, nil
}

func find(root string) ([]string, error) {
	var l []string
	err := filepath.WalkDir(root, func(p string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if p != root && strings.HasPrefix(d.Name(), ".") {
				return filepath.SkipDir // such as a version control's folder, which may hold older copies
			}
			return nil
		}
		if d.Name() == ServiceFile || p == root {
			l = append(l, filepath.Clean(p))
		}
		return nil
	})
	return l, trace.ConvertSystemError(err)
}

// CheckFiles parses the files and checks them side by side.
func CheckFiles(files []admin.File) ([]*config.Service, check.Findings) {
	l, f := admin.ParseFiles(files)
	return l, append(f, config.CheckAll(l)...)
}
