package soak_test

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// lastLanding is the landing before this version; each landing sets it.
const lastLanding = "8934fff3"

var (
	earlierCommit = flag.String("earlier", lastLanding, "the commit of the earlier build")
	laterCommit   = flag.String("later", "", "the commit of the later build, empty for this tree")
)

// earlierBuilds holds the programs that were built from commits.
var earlierBuilds struct {
	mutex    sync.Mutex //nolint:forbidigo // Test code has no duties.
	binaries map[string]string
}

// buildLater returns the program of the later build.
func buildLater(t *testing.T) string {
	t.Helper()
	if *laterCommit == "" {
		return buildBinary(t)
	}
	return buildCommit(t, *laterCommit)
}

// buildCommit builds the program of a commit of this repository once for all tests, beside the one that buildBinary builds. It
// skips the test in a copy of the repository without the commit; .ci/run prints that.
func buildCommit(t *testing.T, commit string) string {
	t.Helper()
	earlierBuilds.mutex.Lock()
	defer earlierBuilds.mutex.Unlock()
	if binary, found := earlierBuilds.binaries[commit]; found {
		return binary
	}
	if exec.CommandContext(t.Context(), "git", "cat-file", "-e", commit+"^{commit}").Run() != nil {
		t.Skipf("left out: the history of this copy does not have commit %s", commit)
	}
	directory := filepath.Join(filepath.Dir(buildBinary(t)), commit)
	require.NoError(t, os.Mkdir(directory, 0o700))
	archive, binary := filepath.Join(directory, "source.tar"), filepath.Join(directory, "almondcross")
	run(t, "../..", "git", "archive", "--output", archive, commit)
	run(t, directory, "tar", "-xf", archive)
	run(t, directory, "go", "build", "-p", "2", "-o", binary, "./cmd/almondcross")
	if earlierBuilds.binaries == nil {
		earlierBuilds.binaries = map[string]string{}
	}
	earlierBuilds.binaries[commit] = binary
	return binary
}

func run(t *testing.T, directory, name string, arguments ...string) {
	t.Helper()
	command := exec.CommandContext(t.Context(), name, arguments...)
	command.Dir = directory
	output, err := command.CombinedOutput()
	require.NoError(t, err, string(output))
}
