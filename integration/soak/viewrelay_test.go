package soak_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// relayHosts is the number of hosts of the cell: a scheduler, three standbys, a relay and three hosts that get views from it.
const relayHosts = 8

// assignment is how a host gets views, as its log tells.
type assignment struct {
	Message  string `json:"msg"`
	Relay    string `json:"relay"`
	Relaying string `json:"relaying"`
}

// lastAssignment returns how the host gets views since the last line about it.
func (host *host) lastAssignment() assignment {
	lines, err := os.ReadFile(host.log.Name())
	require.NoError(host.cell.t, err)
	var last assignment
	for line := range strings.Lines(string(lines)) {
		var next assignment
		if json.Unmarshal([]byte(line), &next) == nil && next.Message == "views_assigned" {
			last = next
		}
	}
	return last
}

// requireShown submits a job to a host and requires that other hosts show it.
func (cell *cell) requireShown(accepting *host, hosts []*host) {
	id := fmt.Sprintf("%016x", rand.Uint64()) //nolint:gosec // An identity needs no secrecy.
	require.Eventually(cell.t, func() bool {
		status, _ := cell.call(http.MethodPost, accepting.callersAddress, "/q/"+id, `{"spec":"x","steps":[{"count":1,"cpu":500,"mem_mb":10}]}`)
		return status == http.StatusOK
	}, 10*time.Second, 250*time.Millisecond, "%s accepts a job", accepting.name)
	for _, host := range hosts {
		require.Eventually(cell.t, func() bool {
			status, _ := cell.call(http.MethodGet, host.callersAddress, "/q/"+id, "")
			return status == http.StatusOK
		}, 10*time.Second, 50*time.Millisecond, "%s shows the job", host.name)
	}
}

// Guards against real processes that do not relay views, and against hosts that do not show new jobs any more after their relay has
// been paused or killed. The threshold is lowered to one host.
func TestProcessesRelayViews(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	cell := newCell(ctx, t, 1)
	storeAddress := cell.serve(cell.store.Handler())
	for range relayHosts {
		host := cell.addHost(cell.binary, storeAddress, workerCount)
		settings, err := os.ReadFile(host.settingsPath)
		require.NoError(t, err)
		settings = []byte(strings.Replace(string(settings), `"direct_workers"`, `"view_relay_hosts":1,"direct_workers"`, 1))
		require.NoError(t, os.WriteFile(host.settingsPath, settings, 0o600))
		host.start()
	}
	cell.awaitHosts()
	for _, pause := range []bool{true, false} {
		var relay *host
		var others, viewers []*host
		require.Eventually(t, func() bool {
			relay, others, viewers = nil, nil, nil
			for _, host := range cell.hosts {
				if host.lastAssignment().Relaying == "yes" {
					relay = host
				}
			}
			for _, host := range cell.hosts {
				if host != relay {
					others = append(others, host)
				}
				if relay != nil && host.lastAssignment().Relay == relay.name {
					viewers = append(viewers, host)
				}
			}
			return relay != nil && len(viewers) > 1
		}, 20*time.Second, 100*time.Millisecond, "a relay has viewers")
		cell.requireShown(viewers[0], cell.hosts)
		if pause {
			relay.pause(4 * time.Second)
		} else {
			relay.end()
		}
		cell.requireShown(viewers[1], others)
		for _, viewer := range viewers {
			require.Eventually(t, func() bool { return viewer.lastAssignment().Relay != relay.name }, 10*time.Second, 100*time.Millisecond, "%s gets views elsewhere", viewer.name)
		}
	}
}
