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

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

type quiet struct{}

func (quiet) Record(string, ...almondcross.LogField) {}

// store answers reads of the pointer, refuses them, or leaves them without an answer.
type store struct {
	records []almondcross.KeyedRecord
	err     error
	silent  bool
}

func (store store) Read(context.Context, almondcross.StoreRead) (almondcross.StoreRecords, error) {
	return almondcross.StoreRecords{}, store.err
}

func (store store) Newest(ctx context.Context, _ almondcross.Partition) ([]almondcross.KeyedRecord, int64, error) {
	if store.silent {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return store.records, 1, store.err
}

// peers name a scheduler, an empty one for none, and count the questions.
type peers struct {
	pointer almondcross.SchedulerPointer
	asked   chan []string
}

func (peers peers) Locate(_ context.Context, addresses []string) (almondcross.SchedulerPointer, bool) {
	peers.asked <- addresses
	return peers.pointer, peers.pointer.Host() != ""
}

// Guards against other hosts that are believed over the store or asked although it answers, against a host without
// an answer while others know the scheduler, and against one that is told that it schedules itself.
func TestPointerComesFromOthersWhenTheStoreIsSilent(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	pointer := func(host string) almondcross.SchedulerPointer {
		return almondcross.NewSchedulerPointer(almondcross.SchedulerPointerConfig{Epoch: 3, Host: host, Address: host + ":1"})
	}
	value, err := codec.EncodePointer(pointer("h-2"))
	require.NoError(t, err)
	answering := store{records: []almondcross.KeyedRecord{almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Value: value})}}
	addresses := []string{"h-3:1"}
	for name, test := range map[string]struct {
		store  store
		told   string
		peers  []string
		host   string
		asked  bool
		failed bool
	}{
		"the store answers":           {store: answering, told: "h-3", peers: addresses, host: "h-2"},
		"the store refuses":           {store: store{err: almondcross.ErrStoreRefused}, told: "h-3", peers: addresses, host: "h-3", asked: true},
		"the store is silent":         {store: store{silent: true}, told: "h-3", peers: addresses, host: "h-3", asked: true},
		"others know none":            {store: store{silent: true}, peers: addresses, asked: true, failed: true},
		"others name this host":       {store: store{silent: true}, told: "h-1", peers: addresses, asked: true, failed: true},
		"no other hosts are known":    {store: store{silent: true}, told: "h-3", failed: true},
		"none, and the store refuses": {store: store{err: almondcross.ErrStoreRefused}, told: "h-3", failed: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			others := peers{asked: make(chan []string, 1)}
			if test.told != "" {
				others.pointer = pointer(test.told)
			}
			answers := ring.New[almondcross.SchedulerMessage](ring.Config{Name: "scheduler", Capacity: 4})
			queries := ring.New[almondcross.PointerQuery](ring.Config{Name: "pointer", Capacity: 4})
			duty := follower.New(follower.Config{
				Reader: test.store, Codec: codec, Locator: others, Host: "h-1", Sink: answers, Log: quiet{}, Clock: clock{},
			}).Pointer(queries)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- duty.Run(ctx) }()
			queries.Offer(almondcross.NewPointerQuery(almondcross.PointerQueryConfig{Peers: test.peers}))
			read, ok := (<-answers.Messages()).(almondcross.PointerRead)
			cancel()
			require.NoError(t, <-done)
			require.True(t, ok)
			require.Equal(t, test.host, read.Pointer().Host())
			require.Equal(t, test.host != "", read.Found())
			require.Equal(t, test.host == "h-2", read.Stored())
			require.Equal(t, test.failed, read.Err() != nil)
			require.Len(t, others.asked, map[bool]int{true: 1}[test.asked])
		})
	}
}
