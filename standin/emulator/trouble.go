package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/almondcross/almondcross"
)

// TroubleKind is a kind of trouble.
type TroubleKind string

// The kinds of trouble.
const (
	KillScheduler   TroubleKind = "kill_scheduler"   // KillScheduler ends the process of the scheduler, which starts again.
	KillHosts       TroubleKind = "kill_hosts"       // KillHosts ends a part of the hosts' processes.
	FreezeScheduler TroubleKind = "freeze_scheduler" // FreezeScheduler makes the scheduler stand still.
	CutScheduler    TroubleKind = "cut_scheduler"    // CutScheduler partitions the scheduler from the store.
	StoreDown       TroubleKind = "store_down"       // StoreDown makes the store silent for all.
	StoreSlow       TroubleKind = "store_slow"       // StoreSlow makes the store take longer.
	StoreLoses      TroubleKind = "store_loses"      // StoreLoses loses answers; the calls are carried out, some late.
	StoreRefuses    TroubleKind = "store_refuses"    // StoreRefuses makes the store silent for a part of the hosts.
	CrashWorkers    TroubleKind = "crash_workers"    // CrashWorkers ends a part of the workers, which start again under their identity.
	CutWorkers      TroubleKind = "cut_workers"      // CutWorkers partitions a part of the workers from all hosts; they run on.
	FailWorkers     TroubleKind = "fail_workers"     // FailWorkers makes a part of the workers fail what they start.
	HangWorkers     TroubleKind = "hang_workers"     // HangWorkers makes runs on a part of the workers stand still.
	DrainWorkers    TroubleKind = "drain_workers"    // DrainWorkers drains a part of the workers, which then leave.
	OrdersLate      TroubleKind = "orders_late"      // OrdersLate leaves a part of the orders without answer and carries them out late.
	LapseEntries    TroubleKind = "lapse_entries"    // LapseEntries removes all announcements for a time.
)

// Kinds returns all kinds of trouble.
func Kinds() []TroubleKind {
	return []TroubleKind{
		KillScheduler, KillHosts, FreezeScheduler, CutScheduler, StoreDown, StoreSlow, StoreLoses, StoreRefuses,
		CrashWorkers, CutWorkers, FailWorkers, HangWorkers, DrainWorkers, OrdersLate, LapseEntries,
	}
}

// Trouble is one thing that goes wrong.
type Trouble struct {
	Kind     TroubleKind
	At       time.Duration // At counts from the start of the traffic.
	For      time.Duration
	Share    float64 // Share is the part of what is struck.
	Strength float64 // Strength is the factor of a slow store.
}

// String returns the trouble as reports show it.
func (trouble Trouble) String() string {
	return fmt.Sprintf("%s at %s for %s share %.2f", trouble.Kind, trouble.At, trouble.For, trouble.Share)
}

// Draw returns a list of troubles for a seed.
func Draw(seed uint64, count int, length time.Duration) []Trouble {
	random := rand.New(rand.NewPCG(seed, 77)) //nolint:gosec // A model needs no secrecy.
	kinds := Kinds()
	troubles := make([]Trouble, 0, count)
	for range count {
		troubles = append(troubles, Trouble{
			Kind:  kinds[random.IntN(len(kinds))],
			At:    time.Duration(random.Int64N(int64(length))).Round(time.Millisecond),
			For:   (time.Second + time.Duration(random.Int64N(int64(5*time.Second)))).Round(time.Millisecond),
			Share: 0.05 + 0.3*random.Float64(), Strength: 10 + 50*random.Float64(),
		})
	}
	return troubles
}

// faults holds until when each trouble lasts.
type faults struct {
	downUntil    time.Duration
	slowUntil    time.Duration
	slowFactor   float64
	losesUntil   time.Duration
	losesShare   float64
	refused      map[*modelHost]time.Duration
	cutAll       map[*modelWorker]time.Duration
	lateUntil    time.Duration
	lateShare    float64
	hiddenUntil  time.Duration
	hiddenWorker map[*modelWorker]time.Duration
}

func (faults *faults) storeDown(host *modelHost, now time.Duration) bool {
	return now < faults.downUntil || now < faults.refused[host]
}

func (faults *faults) storeSlow(now time.Duration) float64 {
	if now < faults.slowUntil {
		return faults.slowFactor
	}
	return 1
}

func (faults *faults) answerLost(day *Day) bool {
	return day.now < faults.losesUntil && day.random.Float64() < faults.losesShare
}

// lateFor returns how much later a call without an answer is carried out.
func (faults *faults) lateFor(day *Day) time.Duration {
	if day.random.Float64() < 0.5 {
		return 0
	}
	return time.Second + time.Duration(day.random.Int64N(int64(5*time.Second)))
}

func (faults *faults) cut(_ *modelHost, worker *modelWorker, now time.Duration) bool {
	return now < faults.cutAll[worker]
}

// orderLate returns how late an order is carried out, 0 for at once. Lease orders are seldom late, since each of
// them raises the fence and so hides what became of the others.
func (faults *faults) orderLate(day *Day, lease bool) time.Duration {
	share := faults.lateShare
	if lease {
		share /= 10
	}
	if day.now >= faults.lateUntil || day.random.Float64() >= share {
		return 0
	}
	return time.Second + time.Duration(day.random.Int64N(int64(10*time.Second)))
}

func (faults *faults) announced(worker *modelWorker, now time.Duration) bool {
	return worker.up && now >= faults.hiddenUntil && now >= faults.hiddenWorker[worker]
}

// scheduler returns the host that schedules, any host if none does.
func (day *Day) scheduler() *modelHost {
	for _, host := range day.hosts {
		if host.up && host.machine.Leads() {
			return host
		}
	}
	return day.hosts[day.random.IntN(len(day.hosts))]
}

// struck returns a part of a list, at least one element.
func struck[T any](day *Day, list []T, share float64) []T {
	count := max(1, int(share*float64(len(list))))
	chosen := make([]T, 0, count)
	for _, index := range day.random.Perm(len(list))[:count] {
		chosen = append(chosen, list[index])
	}
	return chosen
}

func (day *Day) strike(trouble Trouble) {
	faults, until := &day.faults, day.now+trouble.For
	if faults.refused == nil {
		faults.refused = map[*modelHost]time.Duration{}
		faults.cutAll, faults.hiddenWorker = map[*modelWorker]time.Duration{}, map[*modelWorker]time.Duration{}
	}
	switch trouble.Kind {
	case KillScheduler:
		day.restart(day.scheduler(), trouble.For)
	case KillHosts:
		for _, host := range struck(day, day.hosts, 3*trouble.Share) {
			day.restart(host, trouble.For)
		}
	case FreezeScheduler:
		day.scheduler().frozen = until
	case CutScheduler:
		faults.refused[day.scheduler()] = until
	case StoreDown:
		faults.downUntil = until
	case StoreSlow:
		faults.slowUntil, faults.slowFactor = until, trouble.Strength
	case StoreLoses:
		faults.losesUntil, faults.losesShare = until, trouble.Share
	case StoreRefuses:
		for _, host := range struck(day, day.hosts, 2*trouble.Share) {
			faults.refused[host] = until
		}
	case OrdersLate:
		faults.lateUntil, faults.lateShare = until, trouble.Share
	case LapseEntries:
		faults.hiddenUntil = until
	default:
		for _, worker := range struck(day, day.workers, trouble.Share) {
			day.strikeWorker(worker, trouble, until)
		}
	}
}

func (day *Day) restart(host *modelHost, after time.Duration) {
	if !host.up {
		return
	}
	host.kill()
	day.after(after/4, func() {
		if !host.up {
			host.boot()
		}
	})
}

func (day *Day) strikeWorker(worker *modelWorker, trouble Trouble, until time.Duration) {
	switch trouble.Kind {
	case CrashWorkers:
		day.crash(worker, trouble.For)
	case CutWorkers:
		day.faults.cutAll[worker] = until
	case FailWorkers:
		worker.failing = true
		day.after(trouble.For, func() { worker.failing = false })
	case HangWorkers:
		worker.hanging = true
		day.after(trouble.For, func() { worker.hanging = false })
	case DrainWorkers:
		worker.announce = worker.announce.WithDraining(true)
		day.after(3*time.Second, func() {
			day.crash(worker, trouble.For)
			worker.announce = worker.announce.WithDraining(false)
		})
	}
}

func (day *Day) crash(worker *modelWorker, down time.Duration) {
	if !worker.up {
		return
	}
	worker.advance(day.now)
	worker.crash(day.now)
	day.after(down, func() {
		if !worker.up {
			worker.boot(day.now)
		}
	})
}

var _ almondcross.EventLog = noLog{}
