package encoder

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against task records of an earlier version that cannot be read, which would lose the state in an upgrade, and
// against crash counts that a snapshot forgets.
func TestTaskRecordsOfEarlierVersionsAreRead(t *testing.T) {
	codec, err := NewCodec()
	require.NoError(t, err)
	earlier := []byte{0x87, 0xf5, 0xf4, 0x02, 0x01, 0x61, 'w', 0x60, 0x00}
	record := wireTaskRecord{taskRecordFields: taskRecordFields{Done: true, Run: 2, Failures: 1, Worker: "w"}}
	encoded, err := codec.encoding.Marshal(record)
	require.NoError(t, err)
	require.Equal(t, earlier, encoded, "records without crashes keep the earlier form")
	for _, crashes := range []int{0, 2} {
		record.Crashes, record.Confirmed = crashes, crashes/2
		encoded, err = codec.encoding.Marshal([]wireTaskRecord{record})
		require.NoError(t, err)
		var decoded []wireTaskRecord
		require.NoError(t, codec.decoding.Unmarshal(encoded, &decoded))
		require.Equal(t, []wireTaskRecord{record}, decoded)
	}
	var malformed wireTaskRecord
	require.Error(t, codec.decoding.Unmarshal([]byte{0x81, 0xf5}, &malformed))
}
