package worker

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/almondcross/almondcross"
)

// maxRunMs limits a run time to 30 days, so that its product with the run factor doesn't overflow.
const maxRunMs = 30 * 24 * 3600 * 1000

// maxAnswerBytes limits one emulated answer, so that its event fits into a response body.
const maxAnswerBytes = 256 << 10

// behaviour is the emulated run of a task.
type behaviour struct {
	run    time.Duration // the run time, negative to run until the task is stopped
	answer []byte
	fails  bool
}

// controlPayload is a payload that controls the emulated run of its task.
type controlPayload struct {
	RunMs       *float64 `json:"run_ms"`
	AnswerBytes int      `json:"answer_bytes"`
	Fail        bool     `json:"fail"`
	Echo        *string  `json:"echo"`
}

// newBehaviour derives the behaviour of a task from its payload. A payload that isn't a
// controlPayload is echoed after the default run time; a service without a run time runs until it is
// stopped.
func newBehaviour(task almondcross.Task, defaultRun time.Duration) behaviour {
	run := defaultRun
	if task.Class() == almondcross.ClassService {
		run = -1
	}
	var controlpayload controlPayload
	if json.Unmarshal(task.Payload(), &controlpayload) != nil {
		return behaviour{run: run, answer: task.Payload()}
	}
	if controlpayload.RunMs != nil {
		run = time.Duration(min(*controlpayload.RunMs, maxRunMs) * float64(time.Millisecond))
	}
	result := behaviour{run: run, fails: controlpayload.Fail}
	switch {
	case controlpayload.Echo != nil:
		result.answer = []byte(*controlpayload.Echo)
	case controlpayload.AnswerBytes > 0:
		result.answer = fillAnswer(task.ID().String(), min(controlpayload.AnswerBytes, maxAnswerBytes))
	case controlpayload.RunMs == nil && !controlpayload.Fail:
		result.answer = task.Payload()
	}
	return result
}

// fillAnswer repeats the ID of the task up to a length, so that an answer returned for the wrong task
// is detected.
func fillAnswer(id string, length int) []byte {
	return []byte(strings.Repeat(id+";", length/(len(id)+1)+1)[:length])
}
