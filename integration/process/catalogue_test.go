package process_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

// changeLookupEntry sends a change of the lookup entry and decodes the outcome regardless of the HTTP status.
func (cell *cell) changeLookupEntry(host *process, expected almondcross.Offset, share int) (encoder.ChangeOutcomeJSON, error) {
	var entry encoder.EntryJSON
	var outcome encoder.ChangeOutcomeJSON
	if err := json.Unmarshal([]byte(entries[0]), &entry); err != nil {
		return outcome, err
	}
	entry.Share, entry.DataCentres = int64(share), []string{}
	encoded, err := json.Marshal(entry)
	if err != nil {
		return outcome, err
	}
	body, err := json.Marshal(encoder.ChangeBody{Name: entry.Name, Entry: encoded, ExpectedVersion: expected})
	if err != nil {
		return outcome, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.address+"/v1/catalogue", bytes.NewReader(body))
	if err != nil {
		return outcome, err
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := client.Do(request)
	if err != nil {
		return outcome, err
	}
	defer func() { _ = response.Body.Close() }()
	return outcome, json.NewDecoder(response.Body).Decode(&outcome)
}

// TestConcurrentCatalogueChanges guards against two accepted changes of the same version, a catalogue that
// reverts, and a host that starts while the log is down and does not get the catalogue from a peer.
func TestConcurrentCatalogueChanges(t *testing.T) {
	t.Parallel()
	cell := newCell(t, 3, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cell.watchCatalogues(ctx)
	version := cell.changes[0].Version
	for round := range 12 {
		if round%3 == 2 {
			cell.setLogFaults(encoder.PlatformFaults{DropResponses: 1 + cell.random.IntN(3)})
		}
		type reply struct {
			outcome encoder.ChangeOutcomeJSON
			err     error
		}
		replies := make(chan reply, 2)
		first := cell.random.IntN(len(cell.hosts))
		// Both operators change the same version; version itself changes with the first response.
		baseVersion := version
		for operator := range 2 {
			go func() {
				outcome, err := cell.changeLookupEntry(cell.hosts[(first+operator)%len(cell.hosts)], baseVersion, 100+2*round+operator)
				replies <- reply{outcome, err}
			}()
		}
		accepted := 0
		var texts []string
		for range 2 {
			reply := <-replies
			require.NoError(t, reply.err)
			texts = append(texts, fmt.Sprintf("%+v", reply.outcome))
			if reply.outcome.Accepted {
				accepted++
				version = reply.outcome.Version
				cell.changes = append(cell.changes, acceptedChange{Version: version, At: time.Now()})
			}
		}
		require.Equal(t, 1, accepted, "round %d: %v", round, texts)
	}
	cell.setLogFaults(encoder.PlatformFaults{Down: true})
	cell.hosts[2].kill()
	cell.hosts[2].start()
	cell.injectedFaults["SIGKILL of a host with the log down"]++
	cell.awaitReady(cell.hosts[2])
	status, err := cell.status(cell.hosts[2])
	require.NoError(t, err)
	require.GreaterOrEqual(t, status.CatalogueOffset, version)
	cell.setLogFaults(encoder.PlatformFaults{})
	// The readings after the bound of P8 show whether every host has the last change.
	<-time.After(maxCatalogueDelay)
	cell.verifyGuarantees(nil)
}
