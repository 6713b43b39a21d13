package admitter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/policy/admitter"
)

// TestAdmitShedsTasksThatWouldTimeOut guards against accepting tasks that would time out while they wait,
// against shedding tasks that would start in time, and against shedding urgent tasks or calls before
// batch tasks.
func TestAdmitShedsTasksThatWouldTimeOut(t *testing.T) {
	admitter := admitter.New()
	now := time.Unix(0, 0)
	query := almondcross.AdmissionQueryConfig{Entry: "e", Class: almondcross.ClassBatch, Timeout: 2 * time.Second, Ahead: 10}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		admitter.Dequeued("e", time.Second, true, now)
	}
	admit := func(ahead int, class almondcross.Class, urgent bool) almondcross.Admission {
		query.Ahead, query.Class, query.Urgent = ahead, class, urgent
		return admitter.Admit(almondcross.NewAdmissionQuery(query), now)
	}
	require.True(t, admit(10, almondcross.ClassBatch, false).Accepted())
	require.False(t, admit(17, almondcross.ClassBatch, false).Accepted())
	require.True(t, admit(17, almondcross.ClassCall, false).Accepted())
	require.False(t, admit(19, almondcross.ClassCall, false).Accepted())
	require.True(t, admit(19, almondcross.ClassCall, true).Accepted())
	refused := admit(40, almondcross.ClassCall, false)
	require.Equal(t, almondcross.CodeShedOverload, refused.Code())
	require.InDelta(t, 2.2, refused.RetryAfter().Seconds(), 0.1)
	query.Timeout = 0
	require.True(t, admit(10000, almondcross.ClassBatch, false).Accepted())
}
