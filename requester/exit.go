package requester

import (
	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

// The exit codes of the command line.
const (
	ExitSuccess   = 0
	ExitFailed    = 1 // ExitFailed means that the operation failed or was refused.
	ExitBadInput  = 2 // ExitBadInput means that nothing was sent or changed.
	ExitUncertain = 3 // ExitUncertain means that the outcome is unknown or incomplete.
)

// ExitHelp is the section of a help text that lists the exit codes.
const ExitHelp = `

Exit codes:
  0  success
  1  the operation failed or was refused
  2  bad input; nothing was changed
  3  the outcome is uncertain or incomplete`

// ExitError is an error with an exit code.
type ExitError struct {
	code  int
	cause error
}

// Error returns the text of the cause.
func (exiterror *ExitError) Error() string { return exiterror.cause.Error() }

// Unwrap returns the cause.
func (exiterror *ExitError) Unwrap() error { return exiterror.cause }

// Failed gives an error the exit code for an operation that failed or was refused.
func Failed(cause error) error { return &ExitError{code: ExitFailed, cause: cause} }

// BadInput gives an error the exit code for input that was rejected before anything was sent.
func BadInput(cause error) error { return &ExitError{code: ExitBadInput, cause: cause} }

// Uncertain gives an error the exit code for an unknown or incomplete outcome.
func Uncertain(cause error) error { return &ExitError{code: ExitUncertain, cause: cause} }

// ExitCode returns the exit code of an error, which is ExitFailed for an error without a code.
func ExitCode(err error) int {
	if err == nil {
		return ExitSuccess
	}
	var exitError *ExitError
	if errors.As(err, &exitError) {
		return exitError.code
	}
	return ExitFailed
}

// Args wraps a check of positional arguments so that its errors have the exit code for bad input.
func Args(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(command *cobra.Command, arguments []string) error {
		if err := check(command, arguments); err != nil {
			return BadInput(errors.Annotatef(err, "%s", command.CommandPath()))
		}
		return nil
	}
}

// FlagError gives the error of a flag the exit code for bad input. It is a cobra flag error function.
func FlagError(command *cobra.Command, err error) error {
	return BadInput(errors.Annotatef(err, "%s", command.CommandPath()))
}

// Prepare configures commands and their subcommands: only main prints errors, and bad flags and
// unknown subcommands have the exit code for bad input. The assembler calls it with the root command.
func Prepare(commands ...*cobra.Command) []*cobra.Command {
	for _, command := range commands {
		command.SilenceErrors, command.SilenceUsage = true, true
		command.SetFlagErrorFunc(FlagError)
		if !command.Runnable() && command.HasSubCommands() {
			command.Args = Args(cobra.NoArgs)
			command.RunE = func(command *cobra.Command, _ []string) error { return command.Help() }
		}
		Prepare(command.Commands()...)
	}
	return commands
}
