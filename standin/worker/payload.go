package worker

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/almondcross/almondcross"
)

// maxRunMs bounds a run time to 30 days, so that no multiple of it overflows.
const maxRunMs = 30 * 24 * 3600 * 1000

// maxAnswerBytes bounds one emulated answer, so that its event fits into a body.
const maxAnswerBytes = 256 << 10

// behaviour is what a task does.
type behaviour struct {
	run     time.Duration // the run time, negative to run until the task is stopped
	answer  []byte
	failing bool
}

// payloadShape is the payload that controls the emulation.
type payloadShape struct {
	RunMs       *float64 `json:"run_ms"`
	AnswerBytes int      `json:"answer_bytes"`
	Fail        bool     `json:"fail"`
	Echo        *string  `json:"echo"`
}

// behaviourOf derives the behaviour of a task from its payload. A payload of another form is echoed
// after the default run time; a service without a run time runs until it is stopped.
func behaviourOf(task almondcross.Task, defaultRun time.Duration) behaviour {
	run := defaultRun
	if task.Class() == almondcross.ClassService {
		run = -1
	}
	var shape payloadShape
	if json.Unmarshal(task.Payload(), &shape) != nil {
		return behaviour{run: run, answer: task.Payload()}
	}
	if shape.RunMs != nil {
		run = time.Duration(min(*shape.RunMs, maxRunMs) * float64(time.Millisecond))
	}
	result := behaviour{run: run, failing: shape.Fail}
	switch {
	case shape.Echo != nil:
		result.answer = []byte(*shape.Echo)
	case shape.AnswerBytes > 0:
		result.answer = fill(task.ID().String(), min(shape.AnswerBytes, maxAnswerBytes))
	case shape.RunMs == nil && !shape.Fail:
		result.answer = task.Payload()
	}
	return result
}

// fill repeats the identity of the task, so that a mixed-up answer is recognised.
func fill(id string, length int) []byte {
	return []byte(strings.Repeat(id+";", length/(len(id)+1)+1)[:length])
}
