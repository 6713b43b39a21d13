package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/platform/viewer"
)

// visibleTime is how long after its acceptance a job may be unknown to a host in touch.
const visibleTime = 3 * time.Second

// agreementTime is how long after a final state was told every host in touch tells it too: the platform's visible_ms and 2 s.
const agreementTime = visibleTime + 2*time.Second

// questionAge is the age of the jobs that are asked of every host, questionCount their number.
const (
	questionAge   = 40 * time.Second
	questionCount = 4
)

// newQuestions returns the handler that answers callers' questions on a host, as on the platform.
func (modelhost *modelHost) newQuestions() http.Handler {
	router := mux.NewRouter()
	viewer.New(viewer.Config{
		Access: modelhost.access, Jobs: modelhost.jobTable, Clock: virtualClock{modelhost.simulation}, Log: hostLog{modelhost}, Metrics: noMetrics{},
		Ready: func() bool { return true },
	}).Register(router)
	return router
}

// ask returns the status and the body of a host's answer to a question with a key, empty for none.
func (modelhost *modelHost) ask(path, key string) (status int, body []byte) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+queueHost+path, http.NoBody)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	if key != "" {
		request.Header.Set("Authorization", "Token "+key)
	}
	answer := &answerWriter{header: http.Header{}}
	modelhost.questions.ServeHTTP(answer, request)
	checker := modelhost.simulation.checker
	checker.questions++
	if answer.status == http.StatusServiceUnavailable {
		checker.unavailable++
	}
	return answer.status, answer.body.Bytes()
}

// answers reports whether the host's process runs.
func (modelhost *modelHost) answers() bool {
	return modelhost.up && modelhost.frozenUntil <= modelhost.simulation.now
}

// askCount returns the number of waiting jobs of a queue that a host answers, and false if it answers none.
func (modelhost *modelHost) askCount(queue string) (int, bool) {
	status, body := modelhost.ask("/"+queue+"/", modelhost.simulation.anyKey())
	if status != http.StatusOK {
		return 0, false
	}
	fields := map[string]int{}
	if err := json.Unmarshal(body, &fields); err != nil || len(fields) != 1 {
		modelhost.simulation.checker.addViolation("ENCODING", "%s answers %q for %s", modelhost.name, body, queue)
		return 0, false
	}
	count := 0
	for _, value := range fields {
		count = value
	}
	return count, true
}

// checkQuestion asks a host for an accepted job. A host in touch must not answer that there is none.
func (checker *checker) checkQuestion(host *modelHost, job *modelJob) (state almondcross.JobState, known bool) {
	simulation := checker.simulation
	status, _ := host.ask(pathOf(job.spec), job.key.text)
	switch status {
	case http.StatusUnauthorized:
		simulation.renewKey(job)
	case http.StatusOK:
		view, found := host.jobTable.Find(job.spec.ID())
		return view.State(), found
	case http.StatusGone:
		if age := simulation.now - job.acceptedAt; age > visibleTime && job.otherQueue == "" && simulation.disturbances.inTouch(host, simulation.now) {
			checker.addViolation("LOST", "%s is not known to %s %s after it was accepted", job.spec.ID(), host.name, age)
		}
	}
	return "", false
}

// checkQuestions asks every host for some of the jobs that were accepted lately.
func (checker *checker) checkQuestions() {
	simulation := checker.simulation
	for len(simulation.acceptedJobs) > 0 && simulation.now-simulation.acceptedJobs[0].acceptedAt > questionAge {
		simulation.acceptedJobs = simulation.acceptedJobs[1:]
	}
	if len(simulation.acceptedJobs) == 0 {
		return
	}
	for range questionCount {
		job := simulation.acceptedJobs[simulation.random.IntN(len(simulation.acceptedJobs))]
		for _, host := range simulation.hosts {
			if host.answers() {
				state, known := checker.checkQuestion(host, job)
				checker.checkAgreement(host, job, state, known)
				checker.checkAccess(host, job)
			}
		}
	}
}

// checkAgreement finds a host in touch that tells another state of a job than the final one that a caller was told agreementTime
// ago or earlier.
func (checker *checker) checkAgreement(host *modelHost, job *modelJob, state almondcross.JobState, known bool) {
	simulation := checker.simulation
	age := simulation.now - job.finalAt
	if !known || job.finalState == "" || state == job.finalState || age < agreementTime || !simulation.disturbances.inTouch(host, simulation.now) {
		return
	}
	checker.addViolation("MIXED", "%s is told as %s by %s, %s after it was told as %s", job.spec.ID(), state, host.name, age, job.finalState)
}

// answerWriter keeps an answer.
type answerWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the header of the answer.
func (answerwriter *answerWriter) Header() http.Header { return answerwriter.header }

// WriteHeader keeps the status.
func (answerwriter *answerWriter) WriteHeader(status int) { answerwriter.status = status }

// Write keeps a part of the body.
func (answerwriter *answerWriter) Write(part []byte) (int, error) {
	return answerwriter.body.Write(part)
}

// virtualClock is the clock of a simulation.
type virtualClock struct{ simulation *Simulation }

// Now returns the wall-clock time that corresponds to the virtual time.
func (virtualclock virtualClock) Now() time.Time { return virtualclock.simulation.wallTime() }
