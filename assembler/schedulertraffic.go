package assembler

import (
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/counter"
	"github.com/almondcross/almondcross/command/scheduler"
)

// epochTraffic logs what has passed over the links of this host in each epoch in which it was the scheduler. Only the scheduler
// duty calls it.
type epochTraffic struct {
	links   *counter.Links
	log     almondcross.EventLog
	clock   almondcross.Clock
	epoch   int64 // epoch is that of this host as scheduler, 0 if it is not the scheduler.
	begunAt time.Time
	begun   []almondcross.LinkTraffic // begun holds the counts at the beginning of the epoch.
}

// schedulerChanged begins or ends an epoch of this host.
func (epochtraffic *epochTraffic) schedulerChanged(announcement scheduler.AnnounceScheduler) {
	if announcement.Own {
		epochtraffic.epoch, epochtraffic.begunAt, epochtraffic.begun = announcement.Pointer.Epoch(), epochtraffic.clock.Now(), epochtraffic.links.Traffic()
		return
	}
	if epochtraffic.epoch == 0 {
		return
	}
	fields := []almondcross.LogField{
		almondcross.Number("epoch", epochtraffic.epoch), almondcross.Millis("lasted_ms", epochtraffic.clock.Now().Sub(epochtraffic.begunAt)),
	}
	for index, total := range epochtraffic.links.Traffic() {
		traffic, kind := total.Since(epochtraffic.begun[index]), string(total.Kind())
		if traffic.SentMessages() > 0 {
			fields = append(fields, almondcross.Number(kind+"_sent_bytes", traffic.SentBytes()), almondcross.Number(kind+"_sent_messages", traffic.SentMessages()))
		}
		if traffic.ReceivedMessages() > 0 {
			fields = append(fields, almondcross.Number(kind+"_received_bytes", traffic.ReceivedBytes()), almondcross.Number(kind+"_received_messages", traffic.ReceivedMessages()))
		}
	}
	epochtraffic.log.Record("link_traffic", fields...)
	epochtraffic.epoch = 0
}
