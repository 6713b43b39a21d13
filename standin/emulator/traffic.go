package emulator

import (
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/scheduler"
)

// trafficMeter counts the encoded messages on the links of the scheduler's hosts by kind. It counts nothing unless the
// configuration asks for it, since encoding takes most of the time of a simulation of a large cell.
type trafficMeter struct {
	simulation *Simulation
	kinds      map[almondcross.LinkKind]almondcross.LinkTraffic
	orders     int64 // orders numbers the orders.
}

func newTrafficMeter(simulation *Simulation) *trafficMeter {
	return &trafficMeter{simulation: simulation, kinds: map[almondcross.LinkKind]almondcross.LinkTraffic{}}
}

// sent counts a message that a host sends over some links, if the host is the scheduler.
func (trafficmeter *trafficMeter) sent(host *modelHost, message almondcross.LinkMessage, links int) {
	if size := trafficmeter.size(host, message); size > 0 && links > 0 {
		traffic := trafficmeter.kinds[message.LinkKind()]
		trafficmeter.kinds[message.LinkKind()] = traffic.
			WithSentBytes(traffic.SentBytes() + size*int64(links)).WithSentMessages(traffic.SentMessages() + int64(links))
	}
}

// received counts a message that a host receives over a link, if the host is the scheduler.
func (trafficmeter *trafficMeter) received(host *modelHost, message almondcross.LinkMessage) {
	if size := trafficmeter.size(host, message); size > 0 {
		traffic := trafficmeter.kinds[message.LinkKind()]
		trafficmeter.kinds[message.LinkKind()] = traffic.
			WithReceivedBytes(traffic.ReceivedBytes() + size).WithReceivedMessages(traffic.ReceivedMessages() + 1)
	}
}

// size returns the size of the frame of a message, 0 if it is not counted.
func (trafficmeter *trafficMeter) size(host *modelHost, message almondcross.LinkMessage) int64 {
	if !trafficmeter.simulation.config.MeasureLinks || !host.up || !host.machine.Leads() {
		return 0
	}
	frame, err := trafficmeter.simulation.codec.EncodeLink(message)
	if err != nil {
		trafficmeter.simulation.checker.addViolation("ENCODING", "%s cannot send %T: %v", host.name, message, err)
		return 0
	}
	return int64(len(frame))
}

// ordered counts an order as one that another host carries out for the scheduler, in a message of its own.
func (trafficmeter *trafficMeter) ordered(host *modelHost, effect scheduler.Effect) {
	if !trafficmeter.simulation.config.MeasureLinks {
		return
	}
	trafficmeter.orders++
	config := almondcross.RelayedOrderConfig{Number: trafficmeter.orders}
	switch effect := effect.(type) {
	case scheduler.SendLease:
		config.Kind, config.Lease, config.Pause = almondcross.OrderLease, effect.Order, effect.Pause
	case scheduler.SendStart:
		config.Kind, config.Start = almondcross.OrderStart, effect.Order
	case scheduler.SendStop:
		config.Kind, config.Stop = almondcross.OrderStop, effect.Order
	default:
		return
	}
	trafficmeter.sent(host, almondcross.NewOrdersRelayed(almondcross.OrdersRelayedConfig{
		Orders: []almondcross.RelayedOrder{almondcross.NewRelayedOrder(config)},
	}), 1)
}

// report returns the counts by kind, of the kinds that have any, and the time that they cover.
func (trafficmeter *trafficMeter) report() TrafficReport {
	report := TrafficReport{Period: trafficmeter.simulation.end}
	for _, kind := range almondcross.LinkKinds() {
		if traffic, counted := trafficmeter.kinds[kind]; counted {
			report.Kinds = append(report.Kinds, traffic.WithKind(kind))
		}
	}
	return report
}

// TrafficReport holds the messages on the links of the scheduler's hosts in a simulation.
type TrafficReport struct {
	Period time.Duration // Period is the time that the counts cover.
	Kinds  []almondcross.LinkTraffic
}
