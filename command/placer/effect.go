package placer

import "github.com/almondcross/almondcross"

// EffectKind is the action of an effect.
type EffectKind int

// The kinds of effects.
const (
	EffectCreate   EffectKind = iota // EffectCreate creates the dispatcher of Target.
	EffectDrop                       // EffectDrop removes the dispatcher of the target Name.
	EffectSend                       // EffectSend offers Dispatch to the dispatcher of the target Name.
	EffectReport                     // EffectReport sends Report to the coordinator Member.
	EffectForward                    // EffectForward sends Peer to the holder Member.
	EffectSummary                    // EffectSummary offers Summary to the registrar.
	EffectPublish                    // EffectPublish publishes Held.
	EffectAccount                    // EffectAccount passes Account to the accountant.
	EffectDecision                   // EffectDecision records Decision, a scheduling decision.
)

// Report is a message to a coordinator on this host or on a peer.
type Report interface {
	almondcross.CoordinatorMessage
	almondcross.PeerMessage
}

// Effect is one action that the duty performs for the machine. Kind determines which other fields are set.
type Effect struct {
	Kind     EffectKind
	Name     string
	Target   almondcross.Target
	Member   almondcross.MemberID
	Dispatch almondcross.DispatcherMessage
	Report   Report
	Peer     almondcross.PeerMessage
	Summary  almondcross.Summary
	Held     []almondcross.HeldTarget
	Account  *almondcross.AccountEvent
	Decision *almondcross.DecisionEvent
}

func (machine *Machine) emit(effect Effect) { machine.effects = append(machine.effects, effect) }

func (machine *Machine) send(target string, message almondcross.DispatcherMessage) {
	machine.emit(Effect{Kind: EffectSend, Name: target, Dispatch: message})
}

func (machine *Machine) report(member almondcross.MemberID, report Report) {
	machine.emit(Effect{Kind: EffectReport, Member: member, Report: report})
}

func (machine *Machine) account(task almondcross.Task, config almondcross.AccountEventConfig) {
	config.Entry, config.Owner, config.At = task.Entry(), task.Owner(), machine.now
	event := almondcross.NewAccountEvent(config)
	machine.emit(Effect{Kind: EffectAccount, Account: &event})
}

func (machine *Machine) recordDecision(task almondcross.Task, event string, code almondcross.Code, target, detail string) {
	decision := almondcross.NewDecisionEvent(almondcross.DecisionEventConfig{
		At: machine.now, Key: task.ID().Key(), Entry: task.Entry(), Event: event, Code: code,
		Host: machine.self.Name(), Target: target, Detail: detail,
	})
	machine.emit(Effect{Kind: EffectDecision, Decision: &decision})
}
