package assembler

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"os"
	"runtime/debug"
	"sync"

	"github.com/almondcross/almondcross"
)

const (
	unknownBuild = "unknown"
	// programHashBytes is the length of the part of the hash of the program file that is shown.
	programHashBytes = 6
)

// readBuild returns the build information of this program. It is read once, when it is first asked for.
var readBuild = sync.OnceValue(func() almondcross.Build {
	build := almondcross.NewBuild(almondcross.BuildConfig{Version: unknownBuild, Revision: unknownBuild, GoVersion: unknownBuild})
	modified := ""
	if info, found := debug.ReadBuildInfo(); found {
		build = build.WithVersion(info.Main.Version).WithGoVersion(info.GoVersion)
		for _, setting := range info.Settings {
			switch {
			case setting.Key == "vcs.revision":
				build = build.WithRevision(setting.Value)
			case setting.Key == "vcs.modified" && setting.Value == "true":
				modified = "+modified"
			}
		}
	}
	if build.Revision() == unknownBuild {
		return build.WithRevision(programHash())
	}
	return build.WithRevision(build.Revision() + modified)
})

// programHash returns the beginning of the hash of the program file. Two programs that were built without a revision have the same
// build information otherwise.
func programHash() string {
	path, err := os.Executable()
	if err != nil {
		return unknownBuild
	}
	file, err := os.Open(path)
	if err != nil {
		return unknownBuild
	}
	defer func() { _ = file.Close() }()
	hash := sha256.New()
	if _, err := io.Copy(hash, file); err != nil {
		return unknownBuild
	}
	return "sha256:" + hex.EncodeToString(hash.Sum(nil)[:programHashBytes])
}
