package retrier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against retries that come at a constant rate while an operation fails, or that stay rare once it has succeeded.
func TestPausesGrowUntilASuccess(t *testing.T) {
	retrier := New(Config{MinDelay: 100 * time.Millisecond, MaxDelay: 250 * time.Millisecond})
	for range 2 {
		for _, most := range []time.Duration{100, 200, 250, 250} {
			pause := retrier.next()
			require.GreaterOrEqual(t, pause, most*time.Millisecond/2)
			require.Less(t, pause, most*time.Millisecond)
		}
		retrier.Reset()
	}
}
