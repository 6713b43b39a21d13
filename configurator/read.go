package configurator

import (
	"os"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross/parser"
)

// maxFileSize is the maximum size of a settings file, in bytes. The settings of the largest cells take a few
// kilobytes.
const maxFileSize = 1 << 20

// ErrUnreadable means that a settings file cannot be opened or read, or that it is too large.
const ErrUnreadable = errors.ConstError("the settings file cannot be read")

// parseRaw decodes the settings of one role without the checks that involve several keys.
func parseRaw[D any](file string, source []byte, fields []parser.Field[D], settings *D) (parser.Lines, error) {
	node, err := parser.Parse(file, source)
	if err != nil {
		return parser.Lines{}, err
	}
	return parser.Decode(node, fields, settings)
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Annotate(errors.WithType(err, ErrUnreadable), "settings")
	}
	if info.Size() > maxFileSize {
		return nil, errors.Annotatef(ErrUnreadable, "%s has %d bytes; allowed: at most %d", path, info.Size(), maxFileSize)
	}
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(errors.WithType(err, ErrUnreadable), "settings")
	}
	return source, nil
}

// LoadEntry loads the settings file of an entry host.
func LoadEntry(path string) (EntrySettings, error) { return load(path, ParseEntry) }

// LoadPlatform loads the settings file of the stand-in for the platform.
func LoadPlatform(path string) (PlatformSettings, error) { return load(path, ParsePlatform) }

// LoadWorker loads the settings file of the stand-in for a worker.
func LoadWorker(path string) (WorkerSettings, error) { return load(path, ParseWorker) }

// LoadScheduler loads the settings file of a scheduling host.
func LoadScheduler(path string) (SchedulerSettings, error) { return load(path, ParseScheduler) }

func load[T any](path string, parse func(string, []byte) (T, error)) (T, error) {
	source, err := readFile(path)
	if err != nil {
		var zero T
		return zero, err
	}
	return parse(path, source)
}

// Check validates a settings file of any role and returns the role.
func Check(path string) (Role, error) {
	source, err := readFile(path)
	if err != nil {
		return "", err
	}
	return CheckSource(path, source)
}

// CheckSource validates the content of a settings file of any role and returns the role. The file name is used
// in errors only.
func CheckSource(file string, source []byte) (Role, error) {
	node, err := parser.Parse(file, source)
	if err != nil {
		return "", err
	}
	role, err := parser.DecodeChoice(node, "role", []Role{RoleEntry, RolePlatform, RoleWorker, RoleScheduler})
	if err != nil {
		return "", err
	}
	switch role {
	case RolePlatform:
		_, err = ParsePlatform(file, source)
	case RoleWorker:
		_, err = ParseWorker(file, source)
	case RoleScheduler:
		_, err = ParseScheduler(file, source)
	default:
		_, err = ParseEntry(file, source)
	}
	return role, err
}
