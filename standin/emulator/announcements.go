package emulator

import (
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// Timing of the announcements of workers.
const (
	announceInterval   = 1500 * time.Millisecond
	announceRetryDelay = 300 * time.Millisecond
	// announcementTimeout is how long the announcement of a silent worker stays listed.
	announcementTimeout = 3 * announceInterval
)

// announcements models the store's list of workers: the latest entry of each identity, with its offset.
type announcements struct {
	entries map[string]announcedEntry
	end     int64
}

type announcedEntry struct {
	worker    almondcross.Worker
	present   bool
	offset    int64
	writtenAt time.Duration
}

func (announcements *announcements) write(now time.Duration, worker almondcross.Worker, present bool) {
	if announcements.entries == nil {
		announcements.entries = map[string]announcedEntry{}
	}
	announcements.end++
	announcements.entries[worker.ID()] = announcedEntry{worker: worker, present: present, offset: announcements.end, writtenAt: now}
}

// removeOlder removes the entries that were written before a time.
func (announcements *announcements) removeOlder(now, writtenBefore time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(announcements.entries)) {
		if entry := announcements.entries[id]; entry.present && entry.writtenAt < writtenBefore {
			announcements.write(now, entry.worker, false)
		}
	}
}

// read returns the entries that changed after an offset, or all present ones if the offset is negative.
func (announcements *announcements) read(now time.Duration, from int64) almondcross.WorkersReadConfig {
	announcements.removeOlder(now, now-announcementTimeout)
	config := almondcross.WorkersReadConfig{Complete: from < 0, Next: announcements.end}
	entries := slices.SortedFunc(maps.Values(announcements.entries), func(a, b announcedEntry) int { return int(a.offset - b.offset) })
	for _, entry := range entries {
		if entry.offset <= from || from < 0 && !entry.present {
			continue
		}
		config.Changes = append(config.Changes, almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{
			ID: entry.worker.ID(), Present: entry.present, Worker: entry.worker,
		}))
	}
	return config
}

// announce writes a worker's announcement, unless the worker is down or cannot reach the store. It reports whether
// the announcement is written.
func (simulation *Simulation) announce(worker *modelWorker) bool {
	if !worker.up || simulation.now < simulation.faults.storeDownUntil || simulation.now < simulation.faults.announcementsHiddenUntil ||
		simulation.now < simulation.faults.unannouncedUntil[worker] {
		return false
	}
	simulation.announcements.write(simulation.now, worker.announcement, true)
	return true
}

// announcePeriodically renews a worker's announcement. After a failure it retries sooner.
func (simulation *Simulation) announcePeriodically(worker *modelWorker) {
	interval := announceInterval
	if !simulation.announce(worker) {
		interval = announceRetryDelay
	}
	simulation.schedule(interval, func() { simulation.announcePeriodically(worker) })
}
