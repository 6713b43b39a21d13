package crowd_test

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// The tokens and the announced size of the bodies of the tests with an entry host, which takes bodies of up to a mebibyte.
const (
	callerToken, reporterToken = "example-counter-token", "example-reporter-token"
	entryBody, entrySent       = 1 << 20, 1<<20 - 11
)

// startProcess starts a role of the program with settings and a limit on open files, and returns the process and its end.
func startProcess(t *testing.T, role, settings string, descriptors int) (*exec.Cmd, chan struct{}) {
	t.Helper()
	path := filepath.Join(t.TempDir(), role+".jsonc")
	require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	process := exec.CommandContext(t.Context(), "/bin/sh", "-c", `ulimit -n "$0" && exec "$@"`,
		strconv.Itoa(descriptors), buildBinary(t), role, "--config", path)
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // The process ends with that of the test.
	require.NoError(t, process.Start())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = process.Wait()
	}()
	t.Cleanup(func() {
		_ = process.Process.Signal(syscall.SIGKILL)
		<-ended
	})
	return process, ended
}

// startEntryHost starts the platform's stand-in and an entry host, and waits until the host answers.
func startEntryHost(t *testing.T, descriptors int) *host {
	t.Helper()
	platform, peers := reserveAddress(t), reserveAddress(t)
	host := &host{t: t, memoryMB: *memoryMB, callersAddress: reserveAddress(t), linksAddress: peers}
	startProcess(t, "platform", fmt.Sprintf(`{"role":"platform","listen":%q,"lag":"0s"}`, platform), descriptors)
	host.process, host.ended = startProcess(t, "entry", fmt.Sprintf(`{"role":"entry","name":"entry-1","data_centre":"a","region":"r","listen":%q,"advertise":%q,
		"peer_listen":%q,"peer_advertise":%q,"data_centres":["a"],"peers":[],"log_address":%q,"live_list_address":%q,
		"memory_mb":%d,"reporters":[{"name":"manager","token":%q}],"callers":[{"name":"counter","token":%q}]}`,
		host.callersAddress, host.callersAddress, peers, peers, platform, platform, host.memoryMB, reporterToken, callerToken), descriptors)
	host.requireEntryAnswers("before the crowd")
	return host
}

// callEntry sends a request with a token to an entry host and returns the status, 0 for none.
func (host *host) callEntry(method, path, token, body string) int {
	request, err := http.NewRequestWithContext(host.t.Context(), method, "http://"+host.callersAddress+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Authorization", "Bearer "+token)
	request.Close = true
	client := &http.Client{Timeout: answerTimeout}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// requireEntryAnswers checks that an entry host answers a report, and a request for an entry that does not exist.
func (host *host) requireEntryAnswers(when string) {
	host.t.Helper()
	host.requireSoon("the status "+when, func() bool {
		return host.callEntry(http.MethodGet, "/v1/status", reporterToken, "") == http.StatusOK
	})
	host.requireSoon("a request "+when, func() bool {
		return host.callEntry(http.MethodPost, "/v1/requests", callerToken, `{"entry":"none","id":"first","origin":"a"}`) != 0
	})
}

// Guards against an entry host that runs out of memory or descriptors under bodies that stop short of their end, with and without the
// token of a caller, and under connections on which nothing happens.
func TestEntryHostCrowds(t *testing.T) {
	unfinished := func(token string) func(client *client, index int) {
		return func(client *client, _ int) {
			client.write(fmt.Sprintf("POST /v1/requests HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
				token, entryBody, strings.Repeat(" ", entrySent)))
		}
	}
	frame := unfinishedFrame()
	for _, row := range []struct {
		name        string
		descriptors int
		addresses   func(host *host) []string
		act         func(client *client, index int)
	}{
		{"bodies of callers", *descriptorLimit, callersOnly, unfinished(callerToken)},
		{"bodies of strangers", *descriptorLimit, callersOnly, unfinished("unknown")},
		{"idle connections", *descriptorLimit, callersOnly, func(client *client, index int) { client.stayIdle(index) }},
		{"messages of peers", manyDescriptors, func(host *host) []string { return []string{host.linksAddress} }, func(client *client, _ int) {
			if client.upgrade(peerPath) {
				client.write(frame)
			}
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			host := startEntryHost(t, row.descriptors)
			crowd := gather(t, row.addresses(host), row.act)
			host.requireEntryAnswers("beside the crowd")
			crowd.dismiss()
			crowd.group.Wait()
			host.requireEntryAnswers("after the crowd")
			t.Logf("peak memory %.1f MB of %d", host.peakMB(), host.memoryMB)
			require.LessOrEqual(t, host.peakMB(), float64(host.memoryMB), "the memory of the host, in MB")
		})
	}
}
