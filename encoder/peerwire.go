package encoder

import (
	"time"

	"github.com/almondcross/almondcross"
)

type wireHello struct {
	Name string `cbor:"name"`
}

func (wire wireHello) message() almondcross.PeerMessage {
	return almondcross.NewHello(almondcross.HelloConfig(wire))
}

type wireMember struct {
	ID         wireMemberID `cbor:"id"`
	DataCentre string       `cbor:"data_centre,omitempty"`
	Address    string       `cbor:"address,omitempty"`
	Leaving    bool         `cbor:"leaving,omitempty"`
}

type wireSummary struct {
	CatalogueOffset almondcross.Offset `cbor:"catalogue_offset"`
	Free            wireResources      `cbor:"free"`
	LargestFree     wireResources      `cbor:"largest_free"`
	Waiting         int                `cbor:"waiting,omitempty"`
	Oldest          time.Duration      `cbor:"oldest,omitempty"`
	Held            int                `cbor:"held,omitempty"`
}

type wirePing struct {
	Member   wireMember  `cbor:"member"`
	Sequence uint64      `cbor:"sequence"`
	Summary  wireSummary `cbor:"summary"`
}

func toPing(ping almondcross.PeerPing) wirePing {
	member, summary := ping.Member(), ping.Summary()
	return wirePing{
		Member: wireMember{
			ID: toMemberID(member.ID()), DataCentre: member.DataCentre(),
			Address: member.Address(), Leaving: member.Leaving(),
		},
		Sequence: ping.Sequence(),
		Summary: wireSummary{
			CatalogueOffset: summary.CatalogueOffset(), Free: toResources(summary.Free()),
			LargestFree: toResources(summary.LargestFree()), Waiting: summary.Waiting(),
			Oldest: summary.Oldest(), Held: summary.Held(),
		},
	}
}

func (wire wirePing) message() almondcross.PeerMessage {
	return almondcross.NewPeerPing(almondcross.PeerPingConfig{
		Member: almondcross.NewMember(almondcross.MemberConfig{
			ID: wire.Member.ID.value(), DataCentre: wire.Member.DataCentre,
			Address: wire.Member.Address, Leaving: wire.Member.Leaving,
		}),
		Sequence: wire.Sequence,
		Summary: almondcross.NewSummary(almondcross.SummaryConfig{
			CatalogueOffset: wire.Summary.CatalogueOffset, Free: wire.Summary.Free.value(),
			LargestFree: wire.Summary.LargestFree.value(), Waiting: wire.Summary.Waiting,
			Oldest: wire.Summary.Oldest, Held: wire.Summary.Held,
		}),
	})
}

type wirePong struct {
	Member   wireMemberID `cbor:"member"`
	Sequence uint64       `cbor:"sequence"`
	Rejoin   bool         `cbor:"rejoin,omitempty"`
	Known    uint64       `cbor:"known,omitempty"`
}

func toPong(pong almondcross.PeerPong) wirePong {
	return wirePong{
		Member: toMemberID(pong.Member()), Sequence: pong.Sequence(), Rejoin: pong.Rejoin(), Known: pong.Known(),
	}
}

func (wire wirePong) message() almondcross.PeerMessage {
	return almondcross.NewPeerPong(almondcross.PeerPongConfig{
		Member: wire.Member.value(), Sequence: wire.Sequence, Rejoin: wire.Rejoin, Known: wire.Known,
	})
}

type wireSubmit struct {
	Correlation uint64      `cbor:"correlation"`
	Request     wireRequest `cbor:"request"`
}

func (wire wireSubmit) message() almondcross.PeerMessage {
	return almondcross.NewPeerSubmit(almondcross.PeerSubmitConfig{
		Correlation: wire.Correlation, Request: wire.Request.value(),
	})
}

type wireKeyed struct {
	Correlation uint64  `cbor:"correlation"`
	Key         wireKey `cbor:"key"`
}

type wireCancel struct{ wireKeyed }

func (wire wireCancel) message() almondcross.PeerMessage {
	return almondcross.NewPeerCancel(almondcross.PeerCancelConfig{
		Correlation: wire.Correlation, Key: wire.Key.value(),
	})
}

type wireLookup struct{ wireKeyed }

func (wire wireLookup) message() almondcross.PeerMessage {
	return almondcross.NewPeerLookup(almondcross.PeerLookupConfig{
		Correlation: wire.Correlation, Key: wire.Key.value(),
	})
}

type wireReply struct {
	Correlation uint64      `cbor:"correlation"`
	Outcome     wireOutcome `cbor:"outcome"`
}

func (wire wireReply) message() almondcross.PeerMessage {
	return almondcross.NewPeerReply(almondcross.PeerReplyConfig{
		Correlation: wire.Correlation, Outcome: wire.Outcome.value(),
	})
}

type wireLeaving struct {
	Member wireMemberID `cbor:"member"`
}

func (wire wireLeaving) message() almondcross.PeerMessage {
	return almondcross.NewPeerLeaving(almondcross.PeerLeavingConfig{Member: wire.Member.value()})
}

type wireLeavingAck struct {
	Member wireMemberID `cbor:"member"`
}

func (wire wireLeavingAck) message() almondcross.PeerMessage {
	return almondcross.NewPeerLeavingAck(almondcross.PeerLeavingAckConfig{Member: wire.Member.value()})
}

type wireCatalogueRequest struct {
	Member wireMemberID       `cbor:"member"`
	Offset almondcross.Offset `cbor:"offset"`
}

func (wire wireCatalogueRequest) message() almondcross.PeerMessage {
	return almondcross.NewPeerCatalogueRequest(almondcross.PeerCatalogueRequestConfig{
		Member: wire.Member.value(), Offset: wire.Offset,
	})
}

type wirePeerCatalogue wireCatalogue

func (wire wirePeerCatalogue) message() almondcross.PeerMessage {
	return almondcross.NewPeerCatalogue(almondcross.PeerCatalogueConfig{Catalogue: wireCatalogue(wire).value()})
}

type wirePlace struct {
	Task      wireTask `cbor:"task"`
	Forwarded bool     `cbor:"forwarded,omitempty"`
}

func (wire wirePlace) message() almondcross.PeerMessage {
	return almondcross.NewPlaceTask(almondcross.PlaceTaskConfig{Task: wire.Task.value(), Forwarded: wire.Forwarded})
}

type wireStop struct {
	ID      wireTaskID       `cbor:"id"`
	Attempt int              `cbor:"attempt,omitempty"`
	Code    almondcross.Code `cbor:"code,omitempty"`
}

func (wire wireStop) message() almondcross.PeerMessage {
	return almondcross.NewStopTask(almondcross.StopTaskConfig{ID: wire.ID.value(), Attempt: wire.Attempt, Code: wire.Code})
}

type wireTaskRefused struct {
	ID         wireTaskID       `cbor:"id"`
	Attempt    int              `cbor:"attempt,omitempty"`
	Holder     wireMemberID     `cbor:"holder"`
	Code       almondcross.Code `cbor:"code,omitempty"`
	RetryAfter int64            `cbor:"retry_after_ms,omitempty"`
}

func toTaskRefused(refused almondcross.TaskRefused) wireTaskRefused {
	return wireTaskRefused{
		ID: toTaskID(refused.ID()), Attempt: refused.Attempt(), Holder: toMemberID(refused.Holder()),
		Code: refused.Code(), RetryAfter: refused.RetryAfter(),
	}
}

func (wire wireTaskRefused) message() almondcross.PeerMessage {
	return almondcross.NewTaskRefused(almondcross.TaskRefusedConfig{
		ID: wire.ID.value(), Attempt: wire.Attempt, Holder: wire.Holder.value(),
		Code: wire.Code, RetryAfter: wire.RetryAfter,
	})
}

type wireTaskForwarded struct {
	ID      wireTaskID   `cbor:"id"`
	Attempt int          `cbor:"attempt,omitempty"`
	Holder  wireMemberID `cbor:"holder"`
}

func (wire wireTaskForwarded) message() almondcross.PeerMessage {
	return almondcross.NewTaskForwarded(almondcross.TaskForwardedConfig{
		ID: wire.ID.value(), Attempt: wire.Attempt, Holder: wire.Holder.value(),
	})
}

type wireTaskAt struct {
	ID      wireTaskID   `cbor:"id"`
	Attempt int          `cbor:"attempt,omitempty"`
	Holder  wireMemberID `cbor:"holder"`
	Target  string       `cbor:"target"`
	Term    wireTerm     `cbor:"term"`
}

type wireTaskStarted struct{ wireTaskAt }

func (wire wireTaskStarted) message() almondcross.PeerMessage {
	return almondcross.NewTaskStarted(almondcross.TaskStartedConfig{
		ID: wire.ID.value(), Attempt: wire.Attempt, Holder: wire.Holder.value(),
		Target: wire.Target, Term: wire.Term.value(),
	})
}

type wireTaskLost struct{ wireTaskAt }

func (wire wireTaskLost) message() almondcross.PeerMessage {
	return almondcross.NewTaskLost(almondcross.TaskLostConfig{
		ID: wire.ID.value(), Attempt: wire.Attempt, Holder: wire.Holder.value(),
		Target: wire.Target, Term: wire.Term.value(),
	})
}

type wireTaskEnded struct {
	Result wireResult   `cbor:"result"`
	Holder wireMemberID `cbor:"holder"`
	Target string       `cbor:"target"`
	Term   wireTerm     `cbor:"term"`
}

func (wire wireTaskEnded) message() almondcross.PeerMessage {
	return almondcross.NewTaskEnded(almondcross.TaskEndedConfig{
		Result: wire.Result.value(), Holder: wire.Holder.value(), Target: wire.Target, Term: wire.Term.value(),
	})
}

type wireAdopt struct {
	Task   wireTask     `cbor:"task"`
	Holder wireMemberID `cbor:"holder"`
	Target string       `cbor:"target"`
	Term   wireTerm     `cbor:"term"`
}

func (wire wireAdopt) message() almondcross.PeerMessage {
	return almondcross.NewAdoptTask(almondcross.AdoptTaskConfig{
		Task: wire.Task.value(), Holder: wire.Holder.value(), Target: wire.Target, Term: wire.Term.value(),
	})
}

type wireAdoptAck struct {
	ID          wireTaskID   `cbor:"id"`
	Attempt     int          `cbor:"attempt,omitempty"`
	Target      string       `cbor:"target"`
	Term        wireTerm     `cbor:"term"`
	Accepted    bool         `cbor:"accepted,omitempty"`
	Coordinator wireMemberID `cbor:"coordinator"`
}

func toAdoptAck(answer almondcross.AdoptAnswered) wireAdoptAck {
	return wireAdoptAck{
		ID: toTaskID(answer.ID()), Attempt: answer.Attempt(), Target: answer.Target(), Term: toTerm(answer.Term()),
		Accepted: answer.Accepted(), Coordinator: toMemberID(answer.Coordinator()),
	}
}

func (wire wireAdoptAck) message() almondcross.PeerMessage {
	return almondcross.NewAdoptAnswered(almondcross.AdoptAnsweredConfig{
		ID: wire.ID.value(), Attempt: wire.Attempt, Target: wire.Target, Term: wire.Term.value(),
		Accepted: wire.Accepted, Coordinator: wire.Coordinator.value(),
	})
}
