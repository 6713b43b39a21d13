package requester

import (
	"io"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

// The environment variables that are used when a flag is not set.
const (
	ServerVariable = "ALMONDCROSS_SERVER"
	TokenVariable  = "ALMONDCROSS_TOKEN"
)

// defaultServer is the first entry host of the example settings.
const defaultServer = "127.0.0.1:7201"

// Flags are the flags for the addresses of entry hosts, the token and the time limit.
type Flags struct {
	servers   []string
	tokenFile string
	timeout   time.Duration
}

// Bind adds the flags to a command.
func (flags *Flags) Bind(command *cobra.Command) {
	command.Flags().StringArrayVar(&flags.servers, "server", nil,
		"address of an entry host, repeatable (default $"+ServerVariable+", comma-separated, or "+defaultServer+")")
	command.Flags().StringVar(&flags.tokenFile, "token-file", "", "file that holds the token (default: the token in $"+TokenVariable+")")
	command.Flags().DurationVar(&flags.timeout, "timeout", 30*time.Second, "time limit for all attempts together")
	_ = command.MarkFlagFilename("token-file")
}

// Timeout returns the time limit for all attempts together.
func (flags *Flags) Timeout() time.Duration { return flags.timeout }

// Configs returns a client configuration for each server. Its errors have the exit code for bad input.
func (flags *Flags) Configs() ([]Config, error) {
	if flags.timeout <= 0 {
		return nil, BadInput(errors.Errorf("--timeout: found %s; allowed: more than 0s", flags.timeout))
	}
	token := os.Getenv(TokenVariable)
	if flags.tokenFile != "" {
		content, err := os.ReadFile(flags.tokenFile)
		if err != nil {
			return nil, BadInput(errors.Annotate(err, "--token-file"))
		}
		token = strings.TrimSpace(string(content))
	}
	if strings.ContainsAny(token, "\r\n") {
		return nil, BadInput(errors.New("the token has more than one line; allowed: one line"))
	}
	servers := flags.servers
	if len(servers) == 0 {
		servers = strings.FieldsFunc(os.Getenv(ServerVariable), func(char rune) bool { return char == ',' })
	}
	if len(servers) == 0 {
		servers = []string{defaultServer}
	}
	configs := make([]Config, len(servers))
	for index, server := range servers {
		configs[index] = Config{Server: server, Token: token}
		if _, err := New(configs[index]); err != nil {
			return nil, BadInput(err)
		}
	}
	return configs, nil
}

// IsTerminal reports whether a stream is a terminal. Progress is shown only on a terminal.
func IsTerminal(stream io.Writer) bool {
	file, ok := stream.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// ReadFile reads an input file of at most maxBytes bytes, or standard input if the path is "-". Its errors have
// the exit code for bad input.
func ReadFile(command *cobra.Command, path string, maxBytes int64) ([]byte, error) {
	input := command.InOrStdin()
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, BadInput(err)
		}
		defer func() { _ = file.Close() }()
		input = file
	}
	content, err := io.ReadAll(io.LimitReader(input, maxBytes+1))
	if err != nil {
		return nil, BadInput(err)
	}
	if int64(len(content)) > maxBytes {
		return nil, BadInput(errors.Errorf("%s: the input is larger than the limit of %d bytes", path, maxBytes))
	}
	return content, nil
}
