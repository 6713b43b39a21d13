package follower_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/query/follower"
	"github.com/almondcross/almondcross/ring"
)

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

type discardLog struct{}

func (discardLog) Record(string, ...almondcross.LogField) {}

// fakeStore returns the pointer, fails with an error, or hangs until the context ends.
type fakeStore struct {
	records []almondcross.KeyedRecord
	err     error
	hangs   bool
}

func (fakestore fakeStore) Read(context.Context, almondcross.StoreRead) (almondcross.StoreRecords, error) {
	return almondcross.StoreRecords{}, fakestore.err
}

func (fakestore fakeStore) Newest(ctx context.Context, _ almondcross.Partition) ([]almondcross.KeyedRecord, int64, error) {
	if fakestore.hangs {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return fakestore.records, 1, fakestore.err
}

// fakePeers returns the same pointer for every query, with an empty host if no peer knows a scheduler, and records
// the addresses of each query.
type fakePeers struct {
	pointer almondcross.SchedulerPointer
	queries chan []string
}

func (fakepeers fakePeers) Locate(_ context.Context, addresses []string) (almondcross.SchedulerPointer, bool) {
	fakepeers.queries <- addresses
	return fakepeers.pointer, fakepeers.pointer.Host() != ""
}

// Guards against preferring other hosts to the store or querying them although the store responds, against a failed
// query while other hosts know the scheduler, and against accepting a pointer to the querying host itself.
func TestPointerIsReadFromPeersWhenStoreHangs(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	pointer := func(host string) almondcross.SchedulerPointer {
		return almondcross.NewSchedulerPointer(almondcross.SchedulerPointerConfig{Epoch: 3, Host: host, Address: host + ":1"})
	}
	value, err := codec.EncodePointer(pointer("h-2"))
	require.NoError(t, err)
	workingStore := fakeStore{records: []almondcross.KeyedRecord{almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Value: value})}}
	addresses := []string{"h-3:1"}
	for name, test := range map[string]struct {
		store            fakeStore
		peerHost         string
		peers            []string
		wantHost         string
		wantPeersQueried bool
		wantError        bool
	}{
		"the store responds":        {store: workingStore, peerHost: "h-3", peers: addresses, wantHost: "h-2"},
		"the store fails":           {store: fakeStore{err: almondcross.ErrStoreRefused}, peerHost: "h-3", peers: addresses, wantHost: "h-3", wantPeersQueried: true},
		"the store hangs":           {store: fakeStore{hangs: true}, peerHost: "h-3", peers: addresses, wantHost: "h-3", wantPeersQueried: true},
		"peers know no scheduler":   {store: fakeStore{hangs: true}, peers: addresses, wantPeersQueried: true, wantError: true},
		"peers return this host":    {store: fakeStore{hangs: true}, peerHost: "h-1", peers: addresses, wantPeersQueried: true, wantError: true},
		"no peers, the store hangs": {store: fakeStore{hangs: true}, peerHost: "h-3", wantError: true},
		"no peers, the store fails": {store: fakeStore{err: almondcross.ErrStoreRefused}, peerHost: "h-3", wantError: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			peers := fakePeers{queries: make(chan []string, 1)}
			if test.peerHost != "" {
				peers.pointer = pointer(test.peerHost)
			}
			replies := ring.New[almondcross.SchedulerMessage](ring.Config{Name: "scheduler", Capacity: 4})
			queries := ring.New[almondcross.PointerQuery](ring.Config{Name: "pointer", Capacity: 4})
			duty := follower.New(follower.Config{
				Reader: test.store, Codec: codec, Locator: peers, Host: "h-1", Sink: replies, Log: discardLog{}, Clock: systemClock{},
			}).Pointer(queries)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- duty.Run(ctx) }()
			queries.Offer(almondcross.NewPointerQuery(almondcross.PointerQueryConfig{Peers: test.peers}))
			read, ok := (<-replies.Messages()).(almondcross.PointerRead)
			cancel()
			require.NoError(t, <-done)
			require.True(t, ok)
			require.Equal(t, test.wantHost, read.Pointer().Host())
			require.Equal(t, test.wantHost != "", read.Found())
			require.Equal(t, test.wantHost == "h-2", read.Stored())
			require.Equal(t, test.wantError, read.Err() != nil)
			require.Len(t, peers.queries, map[bool]int{true: 1}[test.wantPeersQueried])
		})
	}
}
