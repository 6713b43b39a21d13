package scheduler

import (
	"math/bits"
	"time"

	"github.com/almondcross/almondcross"
)

// A task is given up by a likelihood ratio: how much likelier its crashes are if it crashes its workers than if they crash
// as often as those that did not run it. The ratio is kept in bits, as an integer, so that all hosts compute the same.
const (
	// crashOnset is how soon after its assignment a run ends if its task crashes its worker at once: the append, the order,
	// the crash and the noticing. Half of the tasks that crash workers are taken to do so, the others to take up to a minute
	// with each doubling of the time as likely.
	crashOnset = 200 * time.Millisecond
	// onsetEvidence is the logarithm of the density of crashes a second up to crashOnset, 2.5, rounded down.
	onsetEvidence = 1
	// minEvidence is the logarithm of the ratio from which a task is given up. On the days with crashes in deploy/days tasks
	// that crash their workers had 20 or more at their second confirmed crash, and the others 14 at most.
	minEvidence = 18
	// crashWindow is the time over which crashes of workers are counted. It has several crashes of a cell in which tasks of
	// some ten seconds see more than one.
	crashWindow = 30 * time.Second
	// priorExposure is the time on a worker that stands for what is known of crashes before any is seen, with half a crash.
	priorExposure = 300 * time.Second
	// sameCrash is how far apart the times may be from which the ends of a worker's runs are counted.
	sameCrash = time.Second
)

// timeEvidence returns the logarithm of the density of crashes a second under a task that crashes its workers, after a time
// at work.
func timeEvidence(worked time.Duration) int {
	if worked <= crashOnset {
		return onsetEvidence
	}
	return -1 - bits.Len64(uint64((worked-1)/crashOnset))
}

// confirmCrash counts a crash of the worker under a run that had started.
func confirmCrash(record almondcross.TaskRecord, worked time.Duration) almondcross.TaskRecord {
	return record.WithLosses(record.Losses() + 1).WithConfirmed(record.Confirmed() + 1).WithEvidence(record.Evidence() + timeEvidence(worked))
}

// addWorkerCrash notes that a worker has crashed. It is attributed if one of its runs may have crashed it at its start.
func (state *state) addWorkerCrash(worker string, at time.Time, attributed bool) {
	recent := state.crashes[:0]
	known := false
	for _, crash := range state.crashes {
		if state.batchTime.Sub(crash.At()) > crashWindow {
			continue
		}
		if crash.Worker() == worker && at.Sub(crash.At()).Abs() < sameCrash {
			known = true
			crash = crash.WithAttributed(crash.Attributed() || attributed)
		}
		recent = append(recent, crash)
	}
	if !known {
		recent = append(recent, almondcross.NewWorkerCrash(almondcross.WorkerCrashConfig{Worker: worker, At: at, Attributed: attributed}))
	}
	state.crashes = recent
}

// crashRarity returns the logarithm, rounded down, of the mean time in seconds between two crashes of a worker that no
// start explains. Of the crashes in the window as many as a task has seen are left out, which it may have caused itself.
func (state *state) crashRarity(own int) int {
	others := 0
	for _, crash := range state.crashes {
		if !crash.Attributed() && state.batchTime.Sub(crash.At()) <= crashWindow {
			others++
		}
	}
	others = max(others-own, 0)
	exposure := time.Duration(len(state.busyWorkers))*crashWindow + priorExposure
	return bits.Len64(uint64(2*exposure/time.Second)/uint64(2*others+1)) - 1
}

// releaseWorker counts an active run of a worker no more.
func (state *state) releaseWorker(worker string) {
	if state.busyWorkers[worker]--; state.busyWorkers[worker] <= 0 {
		delete(state.busyWorkers, worker)
		delete(state.busyAddresses, worker)
	}
}
