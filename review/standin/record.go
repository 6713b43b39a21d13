package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// taskRecord is what the workers have seen of a task.
type taskRecord struct {
	starts       int
	startAt      time.Time      // startAt is when the first run started.
	failedBefore int            // failedBefore is the number of runs that had ended as failed when the last run started.
	ends         map[string]int // ends counts the ends by their kind; a crash of the worker is the kind "crash".
	noted        map[string]int // noted counts the ends that were taken note of.
}

// record writes record.txt and keeps what the checks need.
type record struct {
	lock  sync.Mutex
	file  *os.File
	begin time.Time
	tasks map[string]*taskRecord
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, begin: time.Now(), tasks: map[string]*taskRecord{}}, err
}

func (r *record) line(format string, values ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, values...))
}

func (r *record) task(name string) *taskRecord {
	if r.tasks[name] == nil {
		r.tasks[name] = &taskRecord{ends: map[string]int{}, noted: map[string]int{}}
	}
	return r.tasks[name]
}

func (r *record) started(name string, _ int, _ string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	task := r.task(name)
	if task.starts++; task.starts == 1 {
		task.startAt = time.Now()
	}
	task.failedBefore = task.ends["failed"]
}

func (r *record) ended(name string, _ int, how string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.task(name).ends[how]++
}

func (r *record) noted(name string, _ int, how string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.task(name).noted[how]++
}

// of returns a copy of what was seen of a task.
func (r *record) of(name string) taskRecord {
	r.lock.Lock()
	defer r.lock.Unlock()
	task := r.task(name)
	copied := taskRecord{starts: task.starts, startAt: task.startAt, failedBefore: task.failedBefore, ends: map[string]int{}, noted: map[string]int{}}
	for how, count := range task.ends {
		copied.ends[how] = count
	}
	for how, count := range task.noted {
		copied.noted[how] = count
	}
	return copied
}

// atWork reports whether a run of the task has not ended.
func (t taskRecord) atWork() bool {
	ended := 0
	for _, count := range t.ends {
		ended += count
	}
	return t.starts > ended
}
