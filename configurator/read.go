package configurator

import (
	"os"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross/parser"
)

// maxFileSize bounds a settings file; the largest cells need a few kilobytes.
const maxFileSize = 1 << 20

// ErrUnreadable is returned for a file that cannot be read at all.
const ErrUnreadable = errors.ConstError("the settings file cannot be read")

func parseDraft[D any](file string, source []byte, fields []parser.Field[D], draft *D) (parser.Lines, error) {
	node, err := parser.Parse(file, source)
	if err != nil {
		return parser.Lines{}, err
	}
	return parser.Decode(node, fields, draft)
}

func read(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Annotate(errors.WithType(err, ErrUnreadable), "settings")
	}
	if info.Size() > maxFileSize {
		return nil, errors.Annotatef(ErrUnreadable, "%s has %d bytes, allowed: at most %d", path, info.Size(), maxFileSize)
	}
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(errors.WithType(err, ErrUnreadable), "settings")
	}
	return source, nil
}

// LoadEntry reads the settings file of an entry host.
func LoadEntry(path string) (EntrySettings, error) { return load(path, ParseEntry) }

// LoadPlatform reads the settings file of the stand-in for the platform.
func LoadPlatform(path string) (PlatformSettings, error) { return load(path, ParsePlatform) }

// LoadWorker reads the settings file of the stand-in for a worker.
func LoadWorker(path string) (WorkerSettings, error) { return load(path, ParseWorker) }

// LoadScheduler reads the settings file of a host that serves jobs on the users' platform.
func LoadScheduler(path string) (SchedulerSettings, error) { return load(path, ParseScheduler) }

func load[T any](path string, parse func(string, []byte) (T, error)) (T, error) {
	source, err := read(path)
	if err != nil {
		var none T
		return none, err
	}
	return parse(path, source)
}

// Check reads a settings file of any role and returns the role.
func Check(path string) (Role, error) {
	source, err := read(path)
	if err != nil {
		return "", err
	}
	return Parse(path, source)
}

// Parse checks the settings of any role and returns the role.
func Parse(file string, source []byte) (Role, error) {
	node, err := parser.Parse(file, source)
	if err != nil {
		return "", err
	}
	word, err := parser.Word(node, "role", []Role{RoleEntry, RolePlatform, RoleWorker, RoleScheduler})
	if err != nil {
		return "", err
	}
	switch word {
	case RolePlatform:
		_, err = ParsePlatform(file, source)
	case RoleWorker:
		_, err = ParseWorker(file, source)
	case RoleScheduler:
		_, err = ParseScheduler(file, source)
	default:
		_, err = ParseEntry(file, source)
	}
	return word, err
}
