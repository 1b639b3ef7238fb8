package cli

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"

	"heatherrouter/core/check"
	"heatherrouter/io/admin"
)

// Exit is the exit code of the process.
type Exit int

// The exit codes.
const (
	ExitOK          Exit = 0
	ExitFailure     Exit = 1
	ExitUsage       Exit = 2
	ExitFindings    Exit = 3 // nothing was changed
	ExitConflict    Exit = 4 // nothing was changed
	ExitUnavailable Exit = 5 // nothing was changed
	ExitUnknown     Exit = 6 // the change may have been made
)

// UsageError says what is wrong with the command line.
type UsageError struct {
	Message string
}

// Error implements error.
func (e *UsageError) Error() string {
	return e.Message
}

// Usagef returns a UsageError.
func Usagef(format string, args ...any) error {
	return &UsageError{Message: fmt.Sprintf(format, args...)}
}

// Report writes what went wrong and what to do next, and returns the exit code.
func Report(e *Env, err error) Exit {
	if err == nil {
		return ExitOK
	}
	code, message, next := explain(err)
	fmt.Fprintln(e.Err, strings.TrimRight(message, "\n"))
	if next != "" {
		fmt.Fprintln(e.Err, next)
	}
	return code
}

// explain returns the exit code of an error, its message, and what to do next.
func explain(err error) (code Exit, message, next string) {
	if f, ok := errors.AsType[check.Findings](err); ok {
		return ExitFindings, f.Error(), fmt.Sprintf("%d finding(s); nothing was changed. Mend them and run the command again.", len(f))
	}
	if c, ok := errors.AsType[*admin.ConflictError](err); ok {
		return ExitConflict, fmt.Sprintf(
				"conflict: revision %d is in force, your change builds on revision %d; nothing was changed", c.Current, c.Base),
			"Somebody else has published or drained. See what with `heatherrouter service list` and `heatherrouter domain list`, " +
				"bring your files up to date and publish again."
	}
	if u, ok := errors.AsType[*admin.UnavailableError](err); ok {
		return ExitUnavailable, "unavailable: " + u.Cause,
			fmt.Sprintf("Nothing was changed. Try again in %s, or give another daemon with --admin.", u.RetryAfter)
	}
	if u, ok := errors.AsType[*admin.UnknownError](err); ok {
		return ExitUnknown, "outcome unknown: " + u.Cause,
			"The change may be in force. Look with `heatherrouter status` and `heatherrouter service list` once the daemons answer, " +
				"before you run the command again."
	}
	return explainOther(err)
}

func explainOther(err error) (code Exit, message, next string) {
	if u, ok := errors.AsType[*UsageError](err); ok {
		return ExitUsage, u.Message, "See `heatherrouter --help`."
	}
	if p, ok := errors.AsType[*kong.ParseError](err); ok {
		return ExitUsage, p.Error(), "See `heatherrouter --help`."
	}
	message = trace.UserMessage(err)
	switch {
	case trace.IsAccessDenied(err):
		return ExitFailure, message, "Give the file with the daemons' operator key by --key-file."
	case trace.IsNotFound(err):
		return ExitFailure, message, "See the names with the list command of the same noun."
	default:
		return ExitFailure, message, ""
	}
}
