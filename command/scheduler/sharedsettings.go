package scheduler

import "github.com/almondcross/almondcross"

// maxSharedQueues is the number of queues whose last settings are kept to be shared. Those of more queues are shared again once their
// next job is admitted.
const maxSharedQueues = 1024

// sharedSettings are the settings of a queue that its jobs share. The zero value stands for settings that are not known.
type sharedSettings struct{ settings *almondcross.QueueSettings }

// value returns the settings.
func (sharedsettings sharedSettings) value() almondcross.QueueSettings {
	if sharedsettings.settings == nil {
		return almondcross.QueueSettings{}
	}
	return *sharedsettings.settings
}

// Known reports whether the settings are known.
func (sharedsettings sharedSettings) Known() bool { return sharedsettings.value().Known() }

// Queue returns the queue as the version of the settings has it.
func (sharedsettings sharedSettings) Queue() almondcross.Queue { return sharedsettings.value().Queue() }

// Version returns the version of the configuration that the settings are of.
func (sharedsettings sharedSettings) Version() int64 { return sharedsettings.value().Version() }

// share returns settings that are shared with the last job of the queue if they are the same. Decoded jobs have copies of their own,
// which take more memory than a finished job.
func (state *state) share(settings almondcross.QueueSettings) sharedSettings {
	if settings == (almondcross.QueueSettings{}) {
		return sharedSettings{}
	}
	name := settings.Queue().Name()
	if last, found := state.lastSettings[name]; found && last.value() == settings {
		return last
	}
	if len(state.lastSettings) >= maxSharedQueues {
		clear(state.lastSettings)
	}
	shared := sharedSettings{settings: &settings}
	state.lastSettings[name] = shared
	return shared
}

// setSettings sets the settings of a job, and has it share the name of the queue too.
func (state *state) setSettings(job *job, settings almondcross.QueueSettings) {
	job.settings = state.share(settings)
	if name := job.settings.Queue().Name(); name == job.spec.Queue() {
		job.spec = job.spec.WithQueue(name)
	}
}
