package replicator_test

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/replicator"
	"github.com/almondcross/almondcross/platform/translator"
	"github.com/almondcross/almondcross/ring"
)

const (
	// applyBound is the tightest bound of the deployments for the time until a version is in force.
	applyBound = 2500 * time.Millisecond
	// linkDelay is the way over a link between two regions.
	linkDelay = 25 * time.Millisecond
	step      = 5 * time.Millisecond
)

type discardLog struct{}

func (discardLog) Record(string, ...almondcross.LogField) {}

// delivery is a message on its way to a host.
type delivery struct {
	at      time.Time
	to      *host
	message almondcross.RoutesMessage
}

// cell is hosts that are linked to the first of them, in virtual time.
type cell struct {
	now        time.Time
	hosts      []*host
	deliveries []delivery
	sent       []string // sent holds the types of the messages that were sent.
}

// host is a machine with its links. It implements almondcross.RoutesLinker.
type host struct {
	cell      *cell
	name      string
	machine   *replicator.Machine
	scheduler *ring.Ring[almondcross.SchedulerMessage]
	version   int64 // version is the one in force for its calls.
	full      bool  // full is set while its send queues have no room.
}

// SendRoutes passes a message to the host at the other end.
func (host *host) SendRoutes(end almondcross.LinkEnd, message almondcross.RoutesLinkMessage) bool {
	if host.full {
		return false
	}
	cell, sender := host.cell, almondcross.LinkEnd{Host: host.name, Uplink: 1 - end.Uplink}
	cell.sent = append(cell.sent, fmt.Sprintf("%T", message))
	cell.deliveries = append(cell.deliveries, delivery{at: cell.now.Add(linkDelay), to: cell.host(end.Host), message: message.From(sender)})
	return true
}

func (cell *cell) host(name string) *host {
	return cell.hosts[slices.IndexFunc(cell.hosts, func(host *host) bool { return host.name == name })]
}

// newCell returns hosts that have version 1, all but the first one linked to it.
func newCell(hosts int) *cell {
	cell := &cell{now: time.Unix(0, 0)}
	for index := range hosts {
		host := &host{cell: cell, name: fmt.Sprintf("h-%d", index), scheduler: ring.New[almondcross.SchedulerMessage](ring.Config{Name: "scheduler", Capacity: 1})}
		host.machine = replicator.NewMachine(replicator.Config{
			Decoder: translator.Codec{}, Links: host, Scheduler: host.scheduler, Log: discardLog{},
			SetRoutes: func(table almondcross.RouteTable) { host.version = table.Version() },
		})
		cell.hosts = append(cell.hosts, host)
		host.read(1)
	}
	for _, host := range cell.hosts[1:] {
		cell.hosts[0].apply(almondcross.NewRoutesLinkChanged(almondcross.RoutesLinkChangedConfig{End: almondcross.LinkEnd{Host: host.name}, Present: true}))
	}
	cell.run(time.Second)
	cell.sent = nil
	return cell
}

func (host *host) apply(message almondcross.RoutesMessage) {
	host.machine.Apply(message, host.cell.now)
}

// read passes a version that the host has read from the store to its machine.
func (host *host) read(version int64) {
	source := fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"q","host":"h"}]}`, version)
	table, err := translator.Codec{}.DecodeRoutes(source)
	if err != nil {
		panic(err)
	}
	host.apply(almondcross.NewRoutesStored(almondcross.RoutesStoredConfig{
		Record: almondcross.NewRoutesRecord(almondcross.RoutesRecordConfig{Table: table, Source: source}),
	}))
}

// run lets a time pass.
func (cell *cell) run(duration time.Duration) {
	for end := cell.now.Add(duration); cell.now.Before(end); cell.now = cell.now.Add(step) {
		arrived := cell.deliveries
		cell.deliveries = nil
		for _, delivery := range arrived {
			if delivery.at.After(cell.now) {
				cell.deliveries = append(cell.deliveries, delivery)
				continue
			}
			delivery.to.apply(delivery.message)
		}
		for _, host := range cell.hosts {
			if deadline, due := host.machine.NextDeadline(); due && !deadline.After(cell.now) {
				host.machine.Advance(cell.now)
			}
		}
	}
}

func (cell *cell) versions() []int64 {
	var versions []int64
	for _, host := range cell.hosts {
		versions = append(versions, host.version)
	}
	return versions
}

// Guards against hosts that cannot read the store and go on with an old version although a linked host has a newer one: as the
// scheduler's host, as a host linked to it, and as several hosts beside a single one that can read.
func TestHostsThatCannotReadTheStoreGetTheVersionOfTheOthers(t *testing.T) {
	for reader := range 3 {
		cell := newCell(3)
		cell.hosts[reader].read(2)
		cell.run(applyBound)
		require.Equal(t, []int64{2, 2, 2}, cell.versions(), "read by host %d", reader)
		for _, host := range cell.hosts {
			require.IsType(t, almondcross.RoutesRead{}, <-host.scheduler.Messages())
		}
	}
}

// Guards against a configuration that is sent to hosts that have read it themselves, and against a message of each host to the
// scheduler's host for each version.
func TestHostsThatReadInTimeAreOnlyToldTheVersion(t *testing.T) {
	cell := newCell(5)
	for _, host := range cell.hosts {
		host.read(2)
		cell.run(10 * time.Millisecond)
	}
	cell.run(5 * time.Second)
	require.Equal(t, slices.Repeat([]string{"almondcross.RoutesKnown"}, 4), cell.sent)
}

// Guards against a version that goes back, in force or on its way to the scheduler duty.
func TestOlderVersionNeverReplacesANewerOne(t *testing.T) {
	cell := newCell(2)
	cell.hosts[1].read(3)
	cell.hosts[0].read(2)
	cell.run(50 * time.Millisecond)
	require.Equal(t, []int64{2, 3}, cell.versions())
	cell.run(applyBound)
	require.Equal(t, []int64{3, 3}, cell.versions())
	cell.hosts[1].read(2)
	cell.run(time.Second)
	require.Equal(t, []int64{3, 3}, cell.versions())
}

// Guards against a version that is lost for a host because a send queue or the ring of the scheduler duty was full.
func TestFullQueuesDelayAVersionOnly(t *testing.T) {
	cell := newCell(2)
	cell.hosts[0].full = true // The ring of the scheduler duty still holds version 1.
	cell.hosts[0].read(2)
	cell.run(2 * time.Second)
	require.Equal(t, []int64{2, 1}, cell.versions())
	cell.hosts[0].full = false
	<-cell.hosts[0].scheduler.Messages()
	cell.run(applyBound)
	require.Equal(t, []int64{2, 2}, cell.versions())
	passed, ok := (<-cell.hosts[0].scheduler.Messages()).(almondcross.RoutesRead)
	require.True(t, ok)
	require.Equal(t, int64(2), passed.Table().Version())
}

// Guards against a host that asks for a version again and again that it cannot decode.
func TestUnreadableVersionIsAskedForOnce(t *testing.T) {
	cell := newCell(2)
	end := almondcross.LinkEnd{Host: "h-0", Uplink: 1}
	cell.hosts[1].apply(almondcross.NewRoutesKnown(almondcross.RoutesKnownConfig{End: end, Version: 7}))
	cell.run(10 * time.Millisecond)
	require.Equal(t, []string{"almondcross.RoutesWanted"}, cell.sent)
	cell.hosts[1].apply(almondcross.NewRoutesSent(almondcross.RoutesSentConfig{End: end, Source: []byte(`{"version":7,"routes":{}}`)}))
	cell.hosts[1].apply(almondcross.NewRoutesKnown(almondcross.RoutesKnownConfig{End: end, Version: 7}))
	cell.run(10 * time.Millisecond)
	require.Equal(t, []string{"almondcross.RoutesWanted"}, cell.sent)
	require.Equal(t, int64(1), cell.hosts[1].version)
}

// Guards against a configuration that closes the link over which it is sent.
func TestConfigurationThatIsTooLargeForALinkIsNotSent(t *testing.T) {
	cell := newCell(2)
	source := append([]byte(`{"version":2,"routes":[]}`), bytes.Repeat([]byte(" "), almondcross.MaxRoutesBytes)...)
	table, err := translator.Codec{}.DecodeRoutes(source)
	require.NoError(t, err)
	cell.hosts[0].apply(almondcross.NewRoutesStored(almondcross.RoutesStoredConfig{
		Record: almondcross.NewRoutesRecord(almondcross.RoutesRecordConfig{Table: table, Source: source}),
	}))
	cell.run(applyBound)
	require.Equal(t, []int64{2, 1}, cell.versions())
	require.Equal(t, []string{"almondcross.RoutesKnown", "almondcross.RoutesWanted"}, cell.sent)
}

// Guards against messages to a host of an earlier version, which closes a link that carries them, and to a host that is not linked.
func TestHostsThatDoNotReplicateAreSentNothing(t *testing.T) {
	cell := newCell(2)
	cell.hosts[0].apply(almondcross.NewRoutesLinkChanged(almondcross.RoutesLinkChangedConfig{End: almondcross.LinkEnd{Host: "h-1"}}))
	cell.hosts[1].apply(almondcross.NewRoutesLinkChanged(almondcross.RoutesLinkChangedConfig{End: almondcross.LinkEnd{Host: "h-0", Uplink: 1}}))
	cell.hosts[0].read(2)
	cell.hosts[1].read(3)
	cell.run(2 * time.Second)
	require.Empty(t, cell.sent)
}

// Guards against a host that goes on with an old version because the end of its link to an earlier scheduler is reported late, or never.
func TestLateEndOfAnEarlierLinkEndsNoOther(t *testing.T) {
	cell := newCell(2)
	end := almondcross.LinkEnd{Host: "h-0", Uplink: 1}
	later := almondcross.LinkEnd{Host: "h-0", Uplink: 2}
	cell.hosts[1].apply(almondcross.NewRoutesKnown(almondcross.RoutesKnownConfig{End: later, Version: 2}))
	cell.hosts[1].apply(almondcross.NewRoutesLinkChanged(almondcross.RoutesLinkChangedConfig{End: end}))
	cell.hosts[1].apply(almondcross.NewRoutesSent(almondcross.RoutesSentConfig{End: later, Source: []byte(`{"version":2,"routes":[{"name":"q"}]}`)}))
	require.Equal(t, int64(2), cell.hosts[1].version)
}
