package assembler

import (
	"hash/fnv"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/committer"
	"github.com/almondcross/almondcross/command/connector"
	"github.com/almondcross/almondcross/command/counter"
	"github.com/almondcross/almondcross/command/recorder"
	"github.com/almondcross/almondcross/command/scheduler"
	"github.com/almondcross/almondcross/command/submitter"
	"github.com/almondcross/almondcross/configurator"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/platform/client"
	"github.com/almondcross/almondcross/platform/commander"
	"github.com/almondcross/almondcross/platform/querier"
	"github.com/almondcross/almondcross/platform/translator"
	"github.com/almondcross/almondcross/query/follower"
	"github.com/almondcross/almondcross/query/locator"
)

// The topics in the store.
const (
	journalTopic  = "journal"
	intakeTopic   = "intake"
	snapshotTopic = "keyed.snapshots"
	pointerTopic  = "keyed.scheduler"
	usageTopic    = "keyed.account"
	// journalWriter is the writer name of every scheduler. With a common name, the store compares their epochs.
	journalWriter = "scheduler"
)

// newestPageTimeout bounds the read of a page of the newest records, a megabyte at most. A slow store takes 250 ms.
const newestPageTimeout = 1500 * time.Millisecond

func newFollower(
	settings configurator.SchedulerSettings, client *client.Client, codec encoder.Codec, rings schedulerRings, log *recorder.Recorder,
	counter *counter.Counter, large *largeCell,
) *follower.Follower {
	// Encoded jobs take less than half of the memory that they are counted with, and the store may have two snapshots of them.
	loadBytes := scheduler.MaxStateBytes(planLimits(settings).StateBytes())
	return follower.New(follower.Config{
		Reader: querier.NewStore(querier.StoreConfig{Address: settings.StoreAddress(), Client: client, PageTimeout: newestPageTimeout, NewestBytes: loadBytes / 4 * 3}),
		Codec:  codec.WithStateLimit(loadBytes), WorkerCodec: translator.Codec{}, Sink: rings.messages, Log: log,
		Journal: almondcross.Partition{Topic: journalTopic}, Host: settings.Name(), Locator: locator.New(locator.Config{Codec: codec, Log: log}),
		Snapshots: almondcross.Partition{Topic: snapshotTopic}, Intake: intakeTopic,
		Pointers: almondcross.Partition{Topic: pointerTopic}, Clock: Clock{},
		Announcements:    almondcross.Partition{Topic: translator.WorkersTopic},
		Configuration:    almondcross.Partition{Topic: translator.OperatorsTopic},
		ConfigurationKey: translator.ConfigurationKey, Rejected: counter.RoutesRejected, Confirmed: counter.RoutesConfirmed, Large: large.Load,
	})
}

func newCommitter(
	settings configurator.SchedulerSettings, client *client.Client, codec encoder.Codec, rings schedulerRings, log *recorder.Recorder,
) *committer.Committer {
	return committer.New(committer.Config{
		Writer: commander.NewStore(settings.StoreAddress(), client), Codec: codec, KeyedCodec: translator.Codec{}, Sink: rings.messages, Clock: Clock{}, Log: log,
		Journal: almondcross.Partition{Topic: journalTopic}, Snapshots: almondcross.Partition{Topic: snapshotTopic},
		Pointers: almondcross.Partition{Topic: pointerTopic}, Usage: almondcross.Partition{Topic: usageTopic}, Name: journalWriter, RecordBytes: settings.StoreRecord(), CallBytes: settings.StoreCall(),
	})
}

func newSubmitter(
	settings configurator.SchedulerSettings, client *client.Client, codec encoder.Codec, log *recorder.Recorder,
	rings schedulerRings, uplink *connector.Uplink,
) *submitter.Submitter {
	// Hosts start with different partitions, so that their appends do not wait for each other.
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(settings.Name()))
	return submitter.New(submitter.Config{
		Writer: commander.NewStore(settings.StoreAddress(), client), Codec: codec, Clock: Clock{}, Log: log, Topic: intakeTopic,
		Partition: int(hash.Sum32()), Partitions: settings.StorePartitions(), Forward: uplink.Forward, Stored: rings.stored,
		RecordBytes: settings.StoreRecord(), CallBytes: settings.StoreCall(), IntakeBytes: planLimits(settings).IntakeBytes(), Hosts: uplink.Hosts,
	})
}
