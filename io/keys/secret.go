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

// Secret is a secret key that is stored in a file and reread periodically. It is safe for concurrent use.
type Secret struct {
	file    string
	log     *log.Logger
	current atomic.Pointer[string]
}

// NewSecret returns the secret read from the file.
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
	s.current.Store(&x)
	return nil
}

// Get returns the secret last read.
func (s *Secret) Get() string {
	return *s.current.Load()
}

// Watch rereads the file periodically until the context is done. If reading fails, the current secret stays in use.
func (s *Secret) Watch(c context.Context) error {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return nil
		case <-t.C:
			if err := s.read(); err != nil {
				s.log.Warn().Err(err).Msg("failed to reload operator key")
			}
		}
	}
}
