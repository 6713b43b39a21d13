package coordinator

import "github.com/almondcross/almondcross"

// Effect is an action that the machine requests and the duty performs.
type Effect interface{ effect() }

// Reply sends an outcome to a waiting caller or peer.
type Reply struct {
	Replier almondcross.Replier
	Outcome almondcross.Outcome
}

// Send sends a message to a member.
type Send struct {
	Member  string
	Message almondcross.PeerMessage
}

// NotifyPlacer sends a message to the local placer.
type NotifyPlacer struct {
	Message almondcross.PlacerMessage
}

// NotifyClaimer sends a message to the claimer.
type NotifyClaimer struct {
	Message almondcross.ClaimerMessage
}

// FetchAnswer requests a stored answer; the result arrives as an AnswerRead message.
type FetchAnswer struct {
	Message almondcross.ReadAnswer
}

// Account adds an event to the usage account.
type Account struct {
	Event almondcross.AccountEvent
}

// RecordDecision records a decision about a key for later queries.
type RecordDecision struct {
	Event almondcross.DecisionEvent
}

func (Reply) effect()          {}
func (Send) effect()           {}
func (NotifyPlacer) effect()   {}
func (NotifyClaimer) effect()  {}
func (FetchAnswer) effect()    {}
func (Account) effect()        {}
func (RecordDecision) effect() {}
