package registrar_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/registrar"
)

// pingInterval is the shortest time between two pings to a peer; the duty ticks as often.
const pingInterval = almondcross.PingInterval

// full is a machine whose peers have all answered; 6 are in its data centre.
type full struct {
	machine *registrar.Machine
	members map[string]almondcross.Member
	now     time.Time
	sent    int
}

func newFull(peers int) *full {
	start := time.Unix(1_000_000_000, 0)
	member := func(name, dataCentre string) almondcross.Member {
		return almondcross.NewMember(almondcross.MemberConfig{
			ID:         almondcross.NewMemberID(almondcross.MemberIDConfig{Name: name, Incarnation: 1}),
			DataCentre: dataCentre, Address: "10.0.0.1:7301",
		})
	}
	config := registrar.MachineConfig{Self: member("self", "d0"), Start: start}
	members := map[string]almondcross.Member{}
	for index := range peers {
		peer := member(fmt.Sprintf("entry-%d", index), fmt.Sprintf("d%d", (index+1)/7))
		members[peer.ID().Name()] = peer
		config.Peers = append(config.Peers, registrar.PeerConfig{
			Name: peer.ID().Name(), DataCentre: peer.DataCentre(), Address: peer.Address(),
		})
	}
	cell := &full{machine: registrar.NewMachine(config), members: members, now: start}
	for _, peer := range members {
		cell.machine.Apply(almondcross.NewPeerReceived(almondcross.PeerReceivedConfig{
			Message: almondcross.NewPeerPing(almondcross.PeerPingConfig{Member: peer, Sequence: 1}),
		}), cell.now)
	}
	return cell
}

// tick advances by one ping interval and builds one view, as the duty does; every ping is answered, and
// every peer pings as often as this host.
func (full *full) tick() {
	full.now = full.now.Add(pingInterval)
	sends, _ := full.machine.Tick(full.now)
	full.sent += 2 * len(sends)
	full.machine.View(full.now)
	for _, send := range sends {
		ping := send.Message.(almondcross.PeerPing)
		peer := full.members[send.Member]
		full.receive(almondcross.NewPeerPong(almondcross.PeerPongConfig{Member: peer.ID(), Sequence: ping.Sequence()}))
		full.receive(almondcross.NewPeerPing(almondcross.PeerPingConfig{Member: peer, Sequence: ping.Sequence()}))
	}
}

func (full *full) receive(message almondcross.PeerMessage) {
	full.machine.Apply(almondcross.NewPeerReceived(almondcross.PeerReceivedConfig{Message: message}), full.now)
}

// BenchmarkTick reports the cost of one tick with its answers, and the messages a second of a host.
func BenchmarkTick(b *testing.B) {
	for _, peers := range []int{5, 20, 76} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			cell := newFull(peers)
			b.ReportAllocs()
			for b.Loop() {
				cell.tick()
			}
			seconds := float64(b.N) * pingInterval.Seconds()
			b.ReportMetric(float64(cell.sent)/seconds, "sent/s")
		})
	}
}

// Guards against pings to distant peers at the rate of near ones, which would cost a host 608 messages
// a second at 76 peers. The bound is 2 messages for each of 6 near peers 4 times a second and of 70 others
// every 2 s, 118 a second, with one tick of rounding.
func TestMessagesAtDesignSize(t *testing.T) {
	cell := newFull(76)
	const seconds = 60
	for range seconds * int(time.Second/pingInterval) {
		cell.tick()
	}
	t.Logf("%d messages in %d s", cell.sent, seconds)
	require.LessOrEqual(t, cell.sent, 118*seconds+2*76)
}
