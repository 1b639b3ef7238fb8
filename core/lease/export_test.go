package lease

import (
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// Rule is a rule of the witness that a test takes out.
type Rule int

// The rules of the witness.
const (
	RuleLapse        Rule = iota // wait for the lapse of the last lease
	RuleQuiet                    // quiet after the start
	RuleOlder                    // refuse older epochs
	RuleOneDaemon                // one epoch belongs to one daemon
	RuleIncarnation              // another life waits
	RuleStopped                  // only the holder's word ends a lease
	RuleRetired                  // a retired witness refuses older copies and gives no more
	RuleStartRetired             // one that starts during a change starts retired
	RuleClear                    // a retired witness leaves the lease only when it has lapsed
)

// AskWithout answers like Ask without the rule. It changes what the witness remembers so that the rule finds nothing
// to act on; so the code itself needs no switch.
func (w *Witness) AskWithout(off Rule, now mono.Time, from ident.Daemon, a Ask) Give {
	p := w.parts[a.Server.Service()]
	if p == nil {
		return w.Ask(now, from, a)
	}
	r := p.grant(a.Server)
	switch off {
	case RuleLapse:
		r.until = min(r.until, now)
	case RuleQuiet:
		w.quiet = min(w.quiet, now)
	case RuleOlder:
		if a.Epoch < r.highest() {
			r.epoch, r.superseding = 0, 0
		}
	case RuleOneDaemon:
		if a.Epoch == r.epoch && r.holder != from {
			r.epoch = 0
		}
	case RuleIncarnation:
		if r.holder == from {
			r.incarnation = a.Incarnation
		}
	case RuleStopped:
		if a.Mode == Stopped {
			from, a.Incarnation, a.Epoch = r.holder, r.incarnation, r.epoch
		}
	case RuleRetired:
		p.min = 0
	case RuleClear:
		if !p.gives(w.self) {
			r.until = min(r.until, now)
		}
	}
	return w.Ask(now, from, a)
}

// ForgetChange undoes that the witness started retired.
func (w *Witness) ForgetChange(s ident.Service) { w.parts[s].min = 0 }
