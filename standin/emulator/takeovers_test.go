package emulator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/scheduler"
)

// maxIdleTime is the longest time after the disturbance of a test in which no accepted job waits.
const maxIdleTime = 250 * time.Millisecond

// silentElection is the shortest time after which a standby stands for the election of a silent scheduler: 600 ms after the last batch,
// which under this load came up to 50 ms before the disturbance.
const silentElection = 550 * time.Millisecond

// Guards against measured times that name starts of the disturbed process, or that leave out the election of a successor.
func TestTakeoverScenarios(t *testing.T) {
	successors := map[string]time.Duration{ // The earliest election of a successor by scenario, 0 if the same scheduler continues.
		"none": 0, "kill": 2 * linkDelay, "lose": silentElection, "freeze-0.5": 0, "freeze-3": silentElection,
		"cut-standbys": 0, "cut-store": silentElection, "refused": silentElection, "store-down": 0, "journal-down": 0,
		"stop": time.Millisecond,
	}
	// A standby knows at once that a killed process has ended, and does not wait until it is back or has been silent.
	latestElections := map[string]time.Duration{"kill": 50 * time.Millisecond}
	earliestStarts := map[string]time.Duration{"freeze-0.5": 500 * time.Millisecond, "store-down": takeoverCutTime, "journal-down": takeoverCutTime}
	for _, scenario := range TakeoverScenarios() {
		earliest, tested := successors[scenario.Name]
		if !tested {
			continue
		}
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			simulation, err := New(scenario.Apply(Config{
				Seed: 1, Hosts: 5, Workers: 24, SubmitTime: 16 * time.Second, JobsPerSec: 32, AdviceShare: 0.5, Retention: 15 * time.Second,
			}, scenario.Name == "lose"))
			require.NoError(t, err)
			report := simulation.Run()
			require.Empty(t, report.Violations)
			require.Len(t, report.Takeovers.Takeovers, 1)
			takeover := report.Takeovers.Takeovers[0]
			require.Greater(t, takeover.Start, earliestStarts[scenario.Name])
			if scenario.Name != "store-down" { // No job is accepted meanwhile.
				require.Greater(t, report.Takeovers.LongestPause+maxIdleTime, takeover.Start)
			}
			if earliest == 0 {
				require.Zero(t, takeover.Elected)
				return
			}
			require.Greater(t, takeover.Election, earliest)
			if latest, bounded := latestElections[scenario.Name]; bounded {
				require.Less(t, takeover.Election, latest)
			}
			require.Greater(t, takeover.Elected, takeover.Election)
			require.Greater(t, takeover.Contact, takeover.Elected)
			require.GreaterOrEqual(t, takeover.Placement, takeover.Advice)
			require.Greater(t, takeover.Start, takeover.Placement)
			if scenario.Name == "lose" {
				require.NotEmpty(t, report.Takeovers.Restarts)
			}
		})
	}
}

// Guards against a rolling stop that ends early, or whose takeovers are not measured.
func TestRollingStopStopsEveryHost(t *testing.T) {
	scenario := TakeoverScenario{Name: "rolling-stop", Faults: []Fault{{Kind: StopHosts}}}
	simulation, err := New(scenario.Apply(Config{Seed: 1, Hosts: 4, Workers: 8, JobsPerSec: 8, Retention: 15 * time.Second}, false))
	require.NoError(t, err)
	report := simulation.Run()
	require.NotEmpty(t, report.Takeovers.Takeovers)
	for _, host := range simulation.hosts {
		require.Equal(t, 3, host.incarnation) // A start counts one and a stop with its restart two.
	}
}

// assignmentLog records when hosts are made viewers, in milliseconds after the warm-up.
type assignmentLog struct{ times *[]float64 }

// Record records the time of an event that makes a host a viewer.
func (assignmentlog assignmentLog) Record(event string, fields ...almondcross.LogField) {
	if event == "assigned" && fields[0].Text == "no" {
		*assignmentlog.times = append(*assignmentlog.times, fields[len(fields)-1].Number)
	}
}

// Guards against messages that get through a partition, or that its end loses or delivers over another link.
func TestCutLinkHoldsMessagesBack(t *testing.T) {
	for name, relinked := range map[string]bool{"same link": false, "another link": true} {
		t.Run(name, func(t *testing.T) {
			var times []float64
			simulation, err := New(Config{Seed: 1, Hosts: 2, Workers: 1, JobsPerSec: 1, Retention: time.Minute, Log: assignmentLog{&times}})
			require.NoError(t, err)
			simulation.end = 3 * time.Second
			simulation.Run()
			leader := simulation.scheduler()
			viewer := simulation.hosts[1-leader.index]
			require.Equal(t, leader, viewer.linkedTo)
			simulation.events = nil
			cutUntil := simulation.now + time.Second
			simulation.faults.linksCutUntil[leader] = cutUntil
			leader.sendToHosts([]string{viewer.name}, almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig{}))
			if relinked {
				viewer.setLink(scheduler.AnnounceScheduler{})
				viewer.setLink(scheduler.AnnounceScheduler{Pointer: almondcross.NewSchedulerPointer(almondcross.SchedulerPointerConfig{Host: leader.name}), Strength: 1})
			}
			simulation.schedule(time.Second-time.Millisecond, func() { require.Equal(t, relinked, viewer.linkedTo == nil) })
			simulation.end = cutUntil + 10*linkDelay
			simulation.Run()
			require.Equal(t, leader, viewer.linkedTo)
			delays := time.Duration(1) // The delays of the network from the end of the partition to the first message.
			if relinked {
				delays = 4 // Opening the link takes three.
			}
			require.Len(t, times, 1)
			require.InDelta(t, (cutUntil-warmUp+delays*linkDelay).Seconds()*1000, times[0], 0.1)
		})
	}
}
