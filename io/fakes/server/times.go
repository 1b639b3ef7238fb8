package server

import (
	"math"
	"math/rand/v2"
	"time"
)

// ServiceTime is a distribution of service times.
type ServiceTime interface {
	serviceTime()
}

type (
	// Fixed is the same time for every request.
	Fixed time.Duration

	// Exponential has the given mean.
	Exponential struct {
		Mean time.Duration
	}

	// LogNormal has the given median; Sigma is the deviation of the logarithm.
	LogNormal struct {
		Median time.Duration
		Sigma  float64
	}
)

func (Fixed) serviceTime()       {}
func (Exponential) serviceTime() {}
func (LogNormal) serviceTime()   {}

func draw(t ServiceTime, r *rand.Rand) time.Duration {
	switch t := t.(type) {
	case Fixed:
		return time.Duration(t)
	case Exponential:
		return time.Duration(r.ExpFloat64() * float64(t.Mean))
	case LogNormal:
		return time.Duration(math.Exp(r.NormFloat64()*t.Sigma) * float64(t.Median))
	}
	return 0
}
