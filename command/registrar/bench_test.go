package registrar_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/registrar"
)

// pingInterval is the shortest time between two pings to a peer, and the tick interval of the duty.
const pingInterval = almondcross.PingInterval

// testHost is a registrar machine that has all its peers in the view, up to 6 of them in its own data centre.
type testHost struct {
	machine  *registrar.Machine
	members  map[string]almondcross.Member
	now      time.Time
	messages int
}

func newTestHost(peers int) *testHost {
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
	host := &testHost{machine: registrar.NewMachine(config), members: members, now: start}
	for _, peer := range members {
		host.machine.Apply(almondcross.NewPeerReceived(almondcross.PeerReceivedConfig{
			Message: almondcross.NewPeerPing(almondcross.PeerPingConfig{Member: peer, Sequence: 1}),
		}), host.now)
	}
	return host
}

// tick advances the time by one ping interval and builds one view, as the duty does. Every ping is answered, and
// every peer pings as often as this host.
func (testhost *testHost) tick() {
	testhost.now = testhost.now.Add(pingInterval)
	sends, _ := testhost.machine.Tick(testhost.now)
	testhost.messages += 2 * len(sends)
	testhost.machine.View(testhost.now)
	for _, send := range sends {
		ping := send.Message.(almondcross.PeerPing)
		peer := testhost.members[send.Member]
		testhost.receive(almondcross.NewPeerPong(almondcross.PeerPongConfig{Member: peer.ID(), Sequence: ping.Sequence()}))
		testhost.receive(almondcross.NewPeerPing(almondcross.PeerPingConfig{Member: peer, Sequence: ping.Sequence()}))
	}
}

func (testhost *testHost) receive(message almondcross.PeerMessage) {
	testhost.machine.Apply(almondcross.NewPeerReceived(almondcross.PeerReceivedConfig{Message: message}), testhost.now)
}

// BenchmarkTick measures the cost of one tick with its replies, and the messages that a host sends per second.
func BenchmarkTick(b *testing.B) {
	for _, peers := range []int{5, 20, 76} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			host := newTestHost(peers)
			b.ReportAllocs()
			for b.Loop() {
				host.tick()
			}
			seconds := float64(b.N) * pingInterval.Seconds()
			b.ReportMetric(float64(host.messages)/seconds, "sent/s")
		})
	}
}

// Guards against pings to peers of other data centres at the rate of the own data centre, which would cost a host 608
// messages a second with 76 peers. The limit is 2 messages for each of 6 local peers 4 times a second and for each of
// 70 remote peers every 2 s, which is 118 a second, plus one tick for rounding.
func TestMessageRateAtDesignSize(t *testing.T) {
	host := newTestHost(76)
	const seconds = 60
	for range seconds * int(time.Second/pingInterval) {
		host.tick()
	}
	t.Logf("%d messages in %d s", host.messages, seconds)
	require.LessOrEqual(t, host.messages, 118*seconds+2*76)
}
