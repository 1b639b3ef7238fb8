package keys

import (
	"context"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"
)

// Secret is a key in a file of its own, read again when the file changes.
type Secret struct {
	file string
	log  *log.Logger
	now  atomic.Pointer[string]
}

// NewSecret reads the file.
func NewSecret(file string, l *log.Logger) (*Secret, error) {
	s := &Secret{file: file, log: l}
	return s, s.read()
}

func (s *Secret) read() error {
	b, err := os.ReadFile(s.file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	x := strings.TrimSpace(string(b))
	s.now.Store(&x)
	return nil
}

// Get returns the secret as last read.
func (s *Secret) Get() string {
	return *s.now.Load()
}

// Watch reads the file again until the context ends; a file that can't be read leaves the old secret in use.
func (s *Secret) Watch(c context.Context) error {
	t := time.NewTicker(reloadTime)
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return nil
		case <-t.C:
			if err := s.read(); err != nil {
				s.log.Warn().Err(err).Msg("operator key not read again")
			}
		}
	}
}
