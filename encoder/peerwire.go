package encoder

import (
	"time"

	"github.com/almondcross/almondcross"
)

type wireHello struct {
	Name     string                  `cbor:"name"`
	RunID    uint64                  `cbor:"run,omitempty"`
	Channel  almondcross.LinkChannel `cbor:"channel,omitempty"`
	Received uint64                  `cbor:"received,omitempty"`
}

func (wirehello wireHello) message() almondcross.PeerMessage {
	return almondcross.NewHello(almondcross.HelloConfig(wirehello))
}

type wireAcknowledged struct {
	Sequence uint64 `cbor:"1,keyasint"`
}

func (wireacknowledged wireAcknowledged) message() almondcross.PeerMessage {
	return almondcross.NewAcknowledged(almondcross.AcknowledgedConfig(wireacknowledged))
}

// wirePingResources is the form of wireResources in pings, with numeric keys.
type wirePingResources struct {
	MilliCPU     int64 `cbor:"1,keyasint,omitempty"`
	MemoryMB     int64 `cbor:"2,keyasint,omitempty"`
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
	Slots        int64 `cbor:"4,keyasint,omitempty"`
}

func (wirepingresources wirePingResources) value() almondcross.Resources {
	return almondcross.NewResources(almondcross.ResourcesConfig(wirepingresources))
}

// wirePing is flat and has numeric keys to save bytes, since pings and pongs are most of the control traffic.
type wirePing struct {
	Name            string             `cbor:"1,keyasint"`
	Incarnation     uint64             `cbor:"2,keyasint"`
	DataCentre      string             `cbor:"3,keyasint,omitempty"`
	Address         string             `cbor:"4,keyasint,omitempty"`
	Leaving         bool               `cbor:"5,keyasint,omitempty"`
	Sequence        uint64             `cbor:"6,keyasint"`
	CatalogueOffset almondcross.Offset `cbor:"7,keyasint,omitempty"`
	Free            wirePingResources  `cbor:"8,keyasint"`
	LargestFree     wirePingResources  `cbor:"9,keyasint"`
	Waiting         int                `cbor:"10,keyasint,omitempty"`
	Oldest          time.Duration      `cbor:"11,keyasint,omitempty"`
	Held            int                `cbor:"12,keyasint,omitempty"`
	Ejected         int                `cbor:"13,keyasint,omitempty"`
	Largest         wirePingResources  `cbor:"14,keyasint"`
}

func toPing(ping almondcross.PeerPing) wirePing {
	member, summary := ping.Member(), ping.Summary()
	return wirePing{
		Name: member.ID().Name(), Incarnation: member.ID().Incarnation(), DataCentre: member.DataCentre(),
		Address: member.Address(), Leaving: member.Leaving(), Sequence: ping.Sequence(),
		CatalogueOffset: summary.CatalogueOffset(), Free: wirePingResources(summary.Free().Config()),
		LargestFree: wirePingResources(summary.LargestFree().Config()), Waiting: summary.Waiting(),
		Oldest: summary.Oldest(), Held: summary.Held(), Ejected: summary.Ejected(),
		Largest: wirePingResources(summary.Largest().Config()),
	}
}

func (wireping wirePing) message() almondcross.PeerMessage {
	return almondcross.NewPeerPing(almondcross.PeerPingConfig{
		Member: almondcross.NewMember(almondcross.MemberConfig{
			ID:         almondcross.NewMemberID(almondcross.MemberIDConfig{Name: wireping.Name, Incarnation: wireping.Incarnation}),
			DataCentre: wireping.DataCentre, Address: wireping.Address, Leaving: wireping.Leaving,
		}),
		Sequence: wireping.Sequence,
		Summary: almondcross.NewSummary(almondcross.SummaryConfig{
			CatalogueOffset: wireping.CatalogueOffset, Free: wireping.Free.value(), LargestFree: wireping.LargestFree.value(),
			Waiting: wireping.Waiting, Oldest: wireping.Oldest, Held: wireping.Held,
			Ejected: wireping.Ejected, Largest: wireping.Largest.value(),
		}),
	})
}

type wirePong struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
	Rejoin      bool   `cbor:"4,keyasint,omitempty"`
	Known       uint64 `cbor:"5,keyasint,omitempty"`
}

func toPong(pong almondcross.PeerPong) wirePong {
	return wirePong{
		Name: pong.Member().Name(), Incarnation: pong.Member().Incarnation(), Sequence: pong.Sequence(),
		Rejoin: pong.Rejoin(), Known: pong.Known(),
	}
}

func (wirepong wirePong) message() almondcross.PeerMessage {
	return almondcross.NewPeerPong(almondcross.PeerPongConfig{
		Member:   almondcross.NewMemberID(almondcross.MemberIDConfig{Name: wirepong.Name, Incarnation: wirepong.Incarnation}),
		Sequence: wirepong.Sequence, Rejoin: wirepong.Rejoin, Known: wirepong.Known,
	})
}

type wireSubmit struct {
	Correlation uint64      `cbor:"correlation"`
	Request     wireRequest `cbor:"request"`
}

func (wiresubmit wireSubmit) message() almondcross.PeerMessage {
	return almondcross.NewPeerSubmit(almondcross.PeerSubmitConfig{
		Correlation: wiresubmit.Correlation, Request: wiresubmit.Request.value(),
	})
}

// wireKeyRequest is the common part of the requests that name only a key.
type wireKeyRequest struct {
	Correlation uint64  `cbor:"correlation"`
	Key         wireKey `cbor:"key"`
}

type wireCancel struct{ wireKeyRequest }

func (wirecancel wireCancel) message() almondcross.PeerMessage {
	return almondcross.NewPeerCancel(almondcross.PeerCancelConfig{
		Correlation: wirecancel.Correlation, Key: wirecancel.Key.value(),
	})
}

type wireLookup struct{ wireKeyRequest }

func (wirelookup wireLookup) message() almondcross.PeerMessage {
	return almondcross.NewPeerLookup(almondcross.PeerLookupConfig{
		Correlation: wirelookup.Correlation, Key: wirelookup.Key.value(),
	})
}

type wireReply struct {
	Correlation uint64      `cbor:"correlation"`
	Outcome     wireOutcome `cbor:"outcome"`
}

func (wirereply wireReply) message() almondcross.PeerMessage {
	return almondcross.NewPeerReply(almondcross.PeerReplyConfig{
		Correlation: wirereply.Correlation, Outcome: wirereply.Outcome.value(),
	})
}

type wireLeaving struct {
	Member wireMemberID `cbor:"member"`
}

func (wireleaving wireLeaving) message() almondcross.PeerMessage {
	return almondcross.NewPeerLeaving(almondcross.PeerLeavingConfig{Member: wireleaving.Member.value()})
}

type wireLeavingAck struct {
	Member wireMemberID `cbor:"member"`
}

func (wireleavingack wireLeavingAck) message() almondcross.PeerMessage {
	return almondcross.NewPeerLeavingAck(almondcross.PeerLeavingAckConfig{Member: wireleavingack.Member.value()})
}

type wireCatalogueRequest struct {
	Member wireMemberID       `cbor:"member"`
	Offset almondcross.Offset `cbor:"offset"`
}

func (wirecataloguerequest wireCatalogueRequest) message() almondcross.PeerMessage {
	return almondcross.NewPeerCatalogueRequest(almondcross.PeerCatalogueRequestConfig{
		Member: wirecataloguerequest.Member.value(), Offset: wirecataloguerequest.Offset,
	})
}

type wirePeerCatalogue wireCatalogue

func (wirepeercatalogue wirePeerCatalogue) message() almondcross.PeerMessage {
	return almondcross.NewPeerCatalogue(almondcross.PeerCatalogueConfig{Catalogue: wireCatalogue(wirepeercatalogue).value()})
}

type wirePlaceTask struct {
	Task      wireTask `cbor:"task"`
	Forwarded bool     `cbor:"forwarded,omitempty"`
}

func (wireplacetask wirePlaceTask) message() almondcross.PeerMessage {
	return almondcross.NewPlaceTask(almondcross.PlaceTaskConfig{Task: wireplacetask.Task.value(), Forwarded: wireplacetask.Forwarded})
}

type wireStopTask struct {
	ID      wireTaskID       `cbor:"id"`
	Attempt int              `cbor:"attempt,omitempty"`
	Code    almondcross.Code `cbor:"code,omitempty"`
}

func (wirestoptask wireStopTask) message() almondcross.PeerMessage {
	return almondcross.NewStopTask(almondcross.StopTaskConfig{ID: wirestoptask.ID.value(), Attempt: wirestoptask.Attempt, Code: wirestoptask.Code})
}

type wireTaskRefused struct {
	ID           wireTaskID       `cbor:"id"`
	Attempt      int              `cbor:"attempt,omitempty"`
	Holder       wireMemberID     `cbor:"holder"`
	Code         almondcross.Code `cbor:"code,omitempty"`
	RetryAfterMS int64            `cbor:"retry_after_ms,omitempty"`
}

func toTaskRefused(refused almondcross.TaskRefused) wireTaskRefused {
	return wireTaskRefused{
		ID: toTaskID(refused.ID()), Attempt: refused.Attempt(), Holder: toMemberID(refused.Holder()),
		Code: refused.Code(), RetryAfterMS: refused.RetryAfter(),
	}
}

func (wiretaskrefused wireTaskRefused) message() almondcross.PeerMessage {
	return almondcross.NewTaskRefused(almondcross.TaskRefusedConfig{
		ID: wiretaskrefused.ID.value(), Attempt: wiretaskrefused.Attempt, Holder: wiretaskrefused.Holder.value(),
		Code: wiretaskrefused.Code, RetryAfter: wiretaskrefused.RetryAfterMS,
	})
}

type wireTaskForwarded struct {
	ID      wireTaskID   `cbor:"id"`
	Attempt int          `cbor:"attempt,omitempty"`
	Holder  wireMemberID `cbor:"holder"`
}

func (wiretaskforwarded wireTaskForwarded) message() almondcross.PeerMessage {
	return almondcross.NewTaskForwarded(almondcross.TaskForwardedConfig{
		ID: wiretaskforwarded.ID.value(), Attempt: wiretaskforwarded.Attempt, Holder: wiretaskforwarded.Holder.value(),
	})
}

// wireTaskPlacement is the common part of the messages about a task attempt on a target.
type wireTaskPlacement struct {
	ID      wireTaskID   `cbor:"id"`
	Attempt int          `cbor:"attempt,omitempty"`
	Holder  wireMemberID `cbor:"holder"`
	Target  string       `cbor:"target"`
	Term    wireTerm     `cbor:"term"`
}

type wireTaskStarted struct{ wireTaskPlacement }

func (wiretaskstarted wireTaskStarted) message() almondcross.PeerMessage {
	return almondcross.NewTaskStarted(almondcross.TaskStartedConfig{
		ID: wiretaskstarted.ID.value(), Attempt: wiretaskstarted.Attempt, Holder: wiretaskstarted.Holder.value(),
		Target: wiretaskstarted.Target, Term: wiretaskstarted.Term.value(),
	})
}

type wireTaskLost struct {
	wireTaskPlacement
	TargetLost bool `cbor:"target_lost,omitempty"`
}

func (wiretasklost wireTaskLost) message() almondcross.PeerMessage {
	return almondcross.NewTaskLost(almondcross.TaskLostConfig{
		ID: wiretasklost.ID.value(), Attempt: wiretasklost.Attempt, Holder: wiretasklost.Holder.value(),
		Target: wiretasklost.Target, Term: wiretasklost.Term.value(), TargetLost: wiretasklost.TargetLost,
	})
}

type wireTaskEnded struct {
	Result  wireResult   `cbor:"result"`
	Holder  wireMemberID `cbor:"holder"`
	Target  string       `cbor:"target"`
	Term    wireTerm     `cbor:"term"`
	Partial bool         `cbor:"partial,omitempty"`
}

func (wiretaskended wireTaskEnded) message() almondcross.PeerMessage {
	return almondcross.NewTaskEnded(almondcross.TaskEndedConfig{
		Result: wiretaskended.Result.value(), Holder: wiretaskended.Holder.value(), Target: wiretaskended.Target, Term: wiretaskended.Term.value(),
		Partial: wiretaskended.Partial,
	})
}

type wireAdoptTask struct {
	Task   wireTask     `cbor:"task"`
	Holder wireMemberID `cbor:"holder"`
	Target string       `cbor:"target"`
	Term   wireTerm     `cbor:"term"`
}

func (wireadopttask wireAdoptTask) message() almondcross.PeerMessage {
	return almondcross.NewAdoptTask(almondcross.AdoptTaskConfig{
		Task: wireadopttask.Task.value(), Holder: wireadopttask.Holder.value(), Target: wireadopttask.Target, Term: wireadopttask.Term.value(),
	})
}

type wireAdoptAnswered struct {
	ID          wireTaskID   `cbor:"id"`
	Attempt     int          `cbor:"attempt,omitempty"`
	Target      string       `cbor:"target"`
	Term        wireTerm     `cbor:"term"`
	Accepted    bool         `cbor:"accepted,omitempty"`
	Coordinator wireMemberID `cbor:"coordinator"`
}

func toAdoptAnswered(answer almondcross.AdoptAnswered) wireAdoptAnswered {
	return wireAdoptAnswered{
		ID: toTaskID(answer.ID()), Attempt: answer.Attempt(), Target: answer.Target(), Term: toTerm(answer.Term()),
		Accepted: answer.Accepted(), Coordinator: toMemberID(answer.Coordinator()),
	}
}

func (wireadoptanswered wireAdoptAnswered) message() almondcross.PeerMessage {
	return almondcross.NewAdoptAnswered(almondcross.AdoptAnsweredConfig{
		ID: wireadoptanswered.ID.value(), Attempt: wireadoptanswered.Attempt, Target: wireadoptanswered.Target, Term: wireadoptanswered.Term.value(),
		Accepted: wireadoptanswered.Accepted, Coordinator: wireadoptanswered.Coordinator.value(),
	})
}
