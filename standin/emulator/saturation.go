package emulator

import (
	"math"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// The jobs of a cell that is saturated with gangs: their share, their tasks, the run time of these and their need of CPU and
// memory. Gangs of this size wait for room while batch tasks, of which more fit, do not.
const (
	saturatedGangShare, saturatedBatchShare = 0.2, 0.4

	saturatedGangTasks, saturatedGangTime, saturatedGangCPU       = 20, 3400 * time.Millisecond, 4500
	saturatedBatchTasks, saturatedBatchTime, saturatedBatchCPU    = 25, 2600 * time.Millisecond, 1700
	saturatedUrgentTasks, saturatedUrgentTime, saturatedUrgentCPU = 3, 600 * time.Millisecond, 1000
)

// SaturatedJobCPU is the mean CPU time that a job of a saturated cell needs, in seconds of a core.
const SaturatedJobCPU = saturatedGangShare*saturatedGangTasks*3.4*4.5 + saturatedBatchShare*saturatedBatchTasks*2.6*1.7 +
	(1-saturatedGangShare-saturatedBatchShare)*saturatedUrgentTasks*.6

// saturatedStep draws the step of a job of a saturated cell. The estimate is the mean run time.
func (simulation *Simulation) saturatedStep() (queue string, mean time.Duration, step almondcross.Step) {
	newStep := func(count int, mean time.Duration, cpu int64, gang bool) almondcross.Step {
		return almondcross.NewStep(almondcross.StepConfig{
			Count: count, Gang: gang, Estimate: mean, Resources: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: cpu, MemoryMB: cpu}),
		})
	}
	switch fraction := simulation.random.Float64(); {
	case fraction < saturatedGangShare:
		return queueGang, saturatedGangTime, newStep(saturatedGangTasks, saturatedGangTime, saturatedGangCPU, true)
	case fraction < saturatedGangShare+saturatedBatchShare:
		return queueBatch, saturatedBatchTime, newStep(saturatedBatchTasks, saturatedBatchTime, saturatedBatchCPU, false)
	default:
		return queueUrgent, saturatedUrgentTime, newStep(saturatedUrgentTasks, saturatedUrgentTime, saturatedUrgentCPU, false)
	}
}

// ClassTimes holds the times of the jobs of one queue.
type ClassTimes struct {
	Jobs                 int
	StartP50, StartP95   time.Duration // StartP50 and StartP95 are percentiles of the time from submission to the first start.
	FinishP50, FinishP95 time.Duration // FinishP50 and FinishP95 are percentiles of the time from submission to completion.
	Unfinished           int
}

// classTimes returns the times of the accepted jobs of a queue that were not cancelled. Jobs that have not started or completed
// count with the time until the end of the simulation.
func (simulation *Simulation) classTimes(queue string) ClassTimes {
	var starts, finishes []time.Duration
	times := ClassTimes{}
	for _, job := range simulation.jobs {
		if job.acceptedAt == 0 || job.cancelSentAt != 0 || queue != "" && job.spec.Queue() != queue {
			continue
		}
		times.Jobs++
		startedAt, finishedAt := simulation.end, simulation.end
		if job.started {
			startedAt = job.startedAt
		}
		if job.finalState != "" {
			finishedAt = job.finishedAt()
		} else {
			times.Unfinished++
		}
		starts, finishes = append(starts, startedAt-job.sentAt), append(finishes, finishedAt-job.sentAt)
	}
	times.StartP50, times.StartP95 = percentile(starts, 0.5), percentile(starts, 0.95)
	times.FinishP50, times.FinishP95 = percentile(finishes, 0.5), percentile(finishes, 0.95)
	return times
}

// finishedAt returns when the last task of a completed job was done, or when the caller learned of another final state. Callers poll too
// seldom for a comparison.
func (modeljob *modelJob) finishedAt() time.Duration {
	last := time.Duration(0)
	for _, history := range modeljob.taskHistories {
		last = max(last, history.doneAt)
	}
	if modeljob.finalState != almondcross.JobCompleted || last == 0 {
		return modeljob.finalAt
	}
	return last
}

// percentile sorts the times and returns the smallest one that is not below a share of them, 0 for none.
func percentile(times []time.Duration, share float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(int(math.Ceil(share*float64(len(times))))-1, len(times)-1)]
}
