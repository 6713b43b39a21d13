package coordinator_test

import (
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/coordinator"
)

// memberID returns the first incarnation of a member.
func memberID(name string) almondcross.MemberID {
	return almondcross.NewMemberID(almondcross.MemberIDConfig{Name: name, Incarnation: 1})
}

// setPeers publishes a view with the peers, all of which joined before startTime and have given a link lease.
func (member *member) setPeers(names ...string) {
	member.peers = map[string]almondcross.Peer{}
	for _, name := range names {
		member.peers[name] = almondcross.NewPeer(almondcross.PeerConfig{
			Member:     almondcross.NewMember(almondcross.MemberConfig{ID: memberID(name), DataCentre: "north"}),
			LeaseUntil: member.now.Add(almondcross.ViewLifetime),
		})
	}
	member.apply(almondcross.NewViewChanged(almondcross.ViewChangedConfig{View: member.view()}))
}

// advance moves the clock by steps of 100 ms, with a new view and a tick at each step.
func (member *member) advance(duration time.Duration) {
	names := make([]string, 0, len(member.peers))
	for name := range member.peers {
		names = append(names, name)
	}
	for end := member.now.Add(duration); member.now.Before(end); {
		member.now = member.now.Add(100 * time.Millisecond)
		member.setPeers(names...)
		member.perform(member.machine.Tick(member.now))
	}
}

// chooseKey sets the key to one that the named member coordinates while all the named members are in the view.
func (member *member) chooseKey(name string, names ...string) {
	member.setPeers(names...)
	for suffix := range 100 {
		member.key = member.key.WithName("run-" + string(rune('a'+suffix)))
		if chosen, _ := member.view().Coordinator(member.key); chosen.ID().Name() == name {
			return
		}
	}
	member.t.Fatal("no key has the coordinator " + name)
}

// post submits a request for the key to an entry that was issued at the present time.
func (member *member) post(entry string) {
	member.apply(almondcross.NewSubmitRequest(almondcross.SubmitRequestConfig{
		Replier: noopReplier{}, Request: almondcross.NewRequest(almondcross.RequestConfig{
			Key: member.key, Entry: entry, IssuedAt: member.now, Timeout: time.Minute,
		}),
	}))
}

func (member *member) cancel() {
	member.apply(almondcross.NewCancelRequest(almondcross.CancelRequestConfig{Key: member.key, Replier: noopReplier{}}))
}

// placed returns the tasks that were passed to the local placer.
func (member *member) placed() []almondcross.Task {
	var tasks []almondcross.Task
	for _, effect := range member.effects {
		if notify, ok := effect.(coordinator.NotifyPlacer); ok {
			if place, ok := notify.Message.(almondcross.PlaceTask); ok {
				tasks = append(tasks, place.Task())
			}
		}
	}
	return tasks
}

// sent returns the messages of a type that were sent to a peer.
func sent[T almondcross.PeerMessage](member *member, name string) []T {
	var messages []T
	for _, effect := range member.effects {
		if send, ok := effect.(coordinator.Send); ok && send.Member == name {
			if message, ok := send.Message.(T); ok {
				messages = append(messages, message)
			}
		}
	}
	return messages
}

// started reports the start of a task by a holder.
func (member *member) started(task almondcross.Task, holder, target string, counter uint64) {
	member.apply(almondcross.NewTaskStarted(almondcross.TaskStartedConfig{
		ID: task.ID(), Attempt: task.Attempt(), Holder: memberID(holder), Target: target,
		Term: almondcross.NewTerm(almondcross.TermConfig{Boot: 1, Counter: counter}),
	}))
}

// requestAdoption reports a running task of a new holder.
func (member *member) requestAdoption(task almondcross.Task, holder, target string, counter uint64) {
	member.apply(almondcross.NewAdoptTask(almondcross.AdoptTaskConfig{
		Task: task, Holder: memberID(holder), Target: target,
		Term: almondcross.NewTerm(almondcross.TermConfig{Boot: 1, Counter: counter}),
	}))
}

func (member *member) ended(task almondcross.Task, holder, target string, code almondcross.Code) {
	member.apply(almondcross.NewTaskEnded(almondcross.TaskEndedConfig{
		Result: almondcross.NewTaskResult(almondcross.TaskResultConfig{ID: task.ID(), Attempt: task.Attempt(), Code: code}),
		Holder: memberID(holder), Target: target,
	}))
}
