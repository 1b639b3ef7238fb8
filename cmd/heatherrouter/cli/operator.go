package cli

import "cmp"

// OperatorFlag is the flag of commands that change something.
type OperatorFlag struct {
	By string `placeholder:"NAME" help:"Who does it, for other operators to read; the login name unless given."`
}

// Operator returns who makes the change.
func (f *OperatorFlag) Operator(e *Env) string {
	return cmp.Or(f.By, e.Operator)
}
