package logside_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/appender"
	"github.com/almondcross/almondcross/command/cataloguer"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/ring"
	"github.com/almondcross/almondcross/standin/memory"
)

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

type members struct{ name string }

func (members members) View() almondcross.View {
	id := almondcross.NewMemberID(almondcross.MemberIDConfig{Name: members.name, Incarnation: 1})
	return almondcross.NewView(almondcross.ViewConfig{
		Self: almondcross.NewMember(almondcross.MemberConfig{ID: id, DataCentre: "north"}),
	})
}

type noPeers struct{}

func (noPeers) Send(string, almondcross.PeerMessage) bool { return false }

type changeReply chan almondcross.ChangeOutcome

func (changereply changeReply) ReplyChange(outcome almondcross.ChangeOutcome) { changereply <- outcome }

// host is one host's cataloguer with its loader and appenders.
type host struct {
	ring *ring.Ring[almondcross.CataloguerMessage]
	duty *cataloguer.Duty
}

// startCataloguer runs a cataloguer with its loader and appenders until the context ends.
func startCataloguer(ctx context.Context, t *testing.T, log *memory.Log, name string) host {
	t.Helper()
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	changes := appender.New(appender.Config{Stream: almondcross.StreamCatalogue, Log: log, Reader: log, Clock: clock{}, Member: name})
	checkpoints := appender.New(appender.Config{
		Stream: almondcross.StreamCatalogueCheckpoint, Log: log, Reader: log, Clock: clock{}, Member: name,
	})
	messages := ring.New[almondcross.CataloguerMessage](ring.Config{Name: "cataloguer", Capacity: 64})
	duty := cataloguer.New(cataloguer.Config{
		Ring: messages, Member: members{name}.View().Self().ID(), Codec: codec, Changes: changes,
		Checkpoints: checkpoints, Members: members{name}, Peers: noPeers{}, Clock: clock{},
		Machine: cataloguer.MachineConfig{CheckpointRecords: 3},
	})
	loader := cataloguer.NewLoader(cataloguer.LoaderConfig{
		Reader: log, Codec: codec, Sink: messages, Catalogue: duty, Members: members{name}, Peers: noPeers{},
	})
	for _, run := range []func(context.Context) error{changes.Run, checkpoints.Run, duty.Run, loader.Run} {
		go func() { _ = run(ctx) }()
	}
	return host{ring: messages, duty: duty}
}

func newChange(name, operator string, expected almondcross.Offset) almondcross.CatalogueChange {
	entry := almondcross.NewEntry(almondcross.EntryConfig{Name: name, Owner: operator, Share: 1})
	return almondcross.NewCatalogueChange(almondcross.CatalogueChangeConfig{
		Name: name, Entry: entry, Expected: expected, Operator: operator,
	})
}

func (host host) submitChange(t *testing.T, change almondcross.CatalogueChange) changeReply {
	t.Helper()
	replier := make(changeReply, 1)
	require.True(t, host.ring.Offer(almondcross.NewChangeCatalogue(
		almondcross.ChangeCatalogueConfig{Change: change, Replier: replier},
	)))
	return replier
}

// Guards against two accepted changes of the same version, even when the response to an append is lost, and
// against hosts that disagree on which change was accepted.
func TestConcurrentChangesHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := memory.NewLog(clock{})
		first, second := startCataloguer(ctx, t, log, "e1"), startCataloguer(ctx, t, log, "e2")
		log.InjectFaults(memory.FaultResponseLost)
		created := <-first.submitChange(t, newChange("tally", "ann", 0))
		require.True(t, created.Accepted())
		require.Positive(t, created.Version())

		firstReply := first.submitChange(t, newChange("tally", "ann", created.Version()))
		secondReply := second.submitChange(t, newChange("tally", "bob", created.Version()))
		synctest.Wait()
		<-time.After(time.Second)
		results := []almondcross.ChangeOutcome{<-firstReply, <-secondReply}
		require.NotEqual(t, results[0].Accepted(), results[1].Accepted())
		for _, result := range results {
			require.True(t, result.Certain())
			if !result.Accepted() {
				require.Equal(t, almondcross.CodeVersionConflict, result.Code())
			}
		}
		require.Equal(t, first.duty.Catalogue(), second.duty.Catalogue())
		require.Equal(t, first.duty.AuditLines(), second.duty.AuditLines())
		require.Len(t, first.duty.AuditLines(), 3)
	})
}

// Guards against a host that starts from a trimmed stream without the trimmed changes, and against reporting
// a change as certainly rejected although the log may contain it.
func TestStartFromCheckpointAfterTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := memory.NewLog(clock{})
		first := startCataloguer(ctx, t, log, "e1")
		for index := range 5 {
			<-first.submitChange(t, newChange(fmt.Sprint("entry", index), "ann", 0))
		}
		<-time.After(3 * time.Second)
		require.NotEmpty(t, log.Records(almondcross.StreamCatalogueCheckpoint))
		log.Trim(almondcross.StreamCatalogue, first.duty.Catalogue().Offset()+1)
		second := startCataloguer(ctx, t, log, "e2")
		<-time.After(time.Second)
		require.Equal(t, first.duty.Catalogue(), second.duty.Catalogue())
		require.Equal(t, first.duty.AuditLines(), second.duty.AuditLines())

		log.SetDown(true)
		require.False(t, (<-second.submitChange(t, newChange("late", "ann", 0))).Certain())
		require.Equal(t, almondcross.CodeLogDown, (<-second.submitChange(t, newChange("later", "ann", 0))).Code())
	})
}
