package coordinator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// resubmit submits the request of the key again, without or with the retry flag.
func (member *member) resubmit(issuedAt time.Time, retry bool) {
	member.apply(almondcross.NewSubmitRequest(almondcross.SubmitRequestConfig{
		Replier: noopReplier{}, Request: almondcross.NewRequest(almondcross.RequestConfig{
			Key: member.key, Entry: "payout", IssuedAt: issuedAt, Retry: retry,
		}),
	}))
}

// Guards against a start of a key whose caller was told not_run, through a second request that was under way when the
// first one was answered, and against a repeat by the caller that never starts.
func TestRequestInFlightAfterNotRun(t *testing.T) {
	for name, test := range map[string]struct {
		after  time.Duration
		retry  bool
		starts bool
	}{
		"second request in flight":                {0, false, false},
		"late second request":                     {30 * time.Second, false, false},
		"repeat in flight":                        {100 * time.Millisecond, true, false},
		"repeat after retry_after":                {time.Second, true, true},
		"first attempt after the outcome expired": {61 * time.Second, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			member := newMember(t)
			issuedAt := member.now
			member.submit(0)
			member.decideClaim(almondcross.CodeLogDown, almondcross.ClaimRecord{})
			require.Len(t, member.replies, 1)
			require.Equal(t, almondcross.StatusNotRun, member.replies[0].Status())
			require.GreaterOrEqual(t, member.replies[0].RetryAfter(), time.Second)
			member.advance(test.after)
			member.resubmit(issuedAt, test.retry)
			member.apply(almondcross.NewClaimDecided(almondcross.ClaimDecidedConfig{Key: member.key, Granted: true}))
			if test.starts {
				require.Equal(t, 1, member.placements)
				return
			}
			require.Zero(t, member.placements)
			require.Len(t, member.replies, 2)
			require.Equal(t, almondcross.StatusNotRun, member.replies[1].Status())
			require.Equal(t, almondcross.CodeLogDown, member.replies[1].Code())
		})
	}
}
