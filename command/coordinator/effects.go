package coordinator

import "github.com/almondcross/almondcross"

// Effect is something that the duty does for the machine.
type Effect interface{ effect() }

// Reply passes an outcome to a waiting caller or peer.
type Reply struct {
	Replier almondcross.Replier
	Outcome almondcross.Outcome
}

// Send sends a message to a member.
type Send struct {
	Member  string
	Message almondcross.PeerMessage
}

// Place hands a message to the local placer.
type Place struct {
	Message almondcross.PlacerMessage
}

// Claim hands a message to the claimer.
type Claim struct {
	Message almondcross.ClaimerMessage
}

// FetchAnswer asks for a stored answer; AnswerRead follows.
type FetchAnswer struct {
	Message almondcross.ReadAnswer
}

// Account adds a fact to the account.
type Account struct {
	Event almondcross.AccountEvent
}

// Story adds a decision to the story of a key.
type Story struct {
	Event almondcross.StoryEvent
}

func (Reply) effect()       {}
func (Send) effect()        {}
func (Place) effect()       {}
func (Claim) effect()       {}
func (FetchAnswer) effect() {}
func (Account) effect()     {}
func (Story) effect()       {}
