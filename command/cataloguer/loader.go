package cataloguer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
)

// Timing and sizes of the loader.
const (
	pollWait  = 10 * time.Second
	readLimit = 500
	// checkpointsTried is the number of records of the checkpoint stream that are read back from its
	// end; the last ones can be probes.
	checkpointsTried = 8
	firstRetry       = 250 * time.Millisecond
	// lastRetry bounds how late a host notices that the log can be reached again.
	lastRetry = 2 * time.Second
)

// errGap means that neither a checkpoint nor the stream covers the records up to the oldest kept one.
const errGap = errors.ConstError("the catalogue stream is trimmed and no checkpoint covers the gap")

// LoaderConfig holds the parts of a loader.
type LoaderConfig struct {
	Reader    almondcross.LogReader
	Codec     almondcross.CatalogueCodec
	Sink      almondcross.Sink[almondcross.CataloguerMessage]
	Catalogue almondcross.CatalogueViewer
	Members   almondcross.MemberViewer
	Peers     almondcross.PeerSender
	Logger    logrus.FieldLogger
}

// Loader is the duty that reads the checkpoint and follows the catalogue stream.
type Loader struct {
	config LoaderConfig
	next   almondcross.Offset // the offset to read from next, -1 before the checkpoint was read
	failed bool               // whether the last read failed
}

// NewLoader returns a loader.
func NewLoader(config LoaderConfig) *Loader {
	if config.Logger == nil {
		config.Logger = logrus.StandardLogger()
	}
	return &Loader{config: config, next: -1}
}

// Run reads until the context ends. While reading fails it asks the peers for their catalogue.
func (loader *Loader) Run(ctx context.Context) error {
	retry := firstRetry
	for ctx.Err() == nil {
		err := loader.step(ctx)
		if err == nil {
			retry = firstRetry
			loader.setFailed(false, nil)
			continue
		}
		if ctx.Err() != nil {
			break
		}
		loader.setFailed(true, err)
		loader.askPeers()
		timer := time.NewTimer(retry/2 + rand.N(retry/2))
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		retry = min(2*retry, lastRetry)
	}
	return nil
}

func (loader *Loader) setFailed(failed bool, err error) {
	if loader.failed == failed {
		return
	}
	loader.failed = failed
	if failed {
		loader.config.Logger.WithError(err).Warn("catalogue stream cannot be read")
		return
	}
	loader.config.Logger.Info("catalogue stream is read again")
}

func (loader *Loader) step(ctx context.Context) error {
	if loader.next < 0 {
		return loader.load(ctx)
	}
	batch, err := loader.config.Reader.Read(ctx, almondcross.StreamCatalogue, loader.next, readLimit, pollWait)
	if errors.Is(err, almondcross.ErrLogTrimmed) {
		loader.next = -1
		return nil
	}
	if err != nil {
		return errors.Annotate(err, "reading the catalogue stream")
	}
	if batch.Next() <= loader.next {
		return nil
	}
	var changes []almondcross.CatalogueChange
	for _, record := range batch.Records() {
		change, err := loader.config.Codec.DecodeChange(record)
		if err != nil {
			// Every host passes over the same records: probes and bodies that no host can decode.
			if len(record.Body()) > 0 {
				loader.config.Logger.WithError(err).WithField("offset", record.Offset()).Error("catalogue record is malformed")
			}
			continue
		}
		changes = append(changes, change)
	}
	err = loader.config.Sink.Put(ctx, almondcross.NewCatalogueRecordsRead(
		almondcross.CatalogueRecordsReadConfig{Changes: changes, Next: batch.Next()},
	))
	if err != nil {
		return errors.Trace(err)
	}
	loader.next = batch.Next()
	return nil
}

// load reads the newest checkpoint and chooses where to go on in the stream.
func (loader *Loader) load(ctx context.Context) error {
	oldest, end, err := loader.config.Reader.End(ctx, almondcross.StreamCatalogue)
	if err != nil {
		return errors.Annotate(err, "finding the start of the catalogue stream")
	}
	checkpoint, found, err := loader.newest(ctx)
	if err != nil {
		return err
	}
	if !found {
		// A stream that starts at 0 or 1 was never trimmed.
		if oldest > 1 {
			return errors.Trace(errGap)
		}
		loader.next = oldest
		if end <= oldest {
			// A cell without any entry is served as well: it has an empty catalogue.
			return loader.putEmpty(ctx)
		}
		return nil
	}
	after := checkpoint.Catalogue().Offset() + 1
	if after < oldest {
		return errors.Annotatef(errGap, "checkpoint up to %d, stream from %d", after-1, oldest)
	}
	err = loader.config.Sink.Put(ctx, almondcross.NewCatalogueCheckpointRead(
		almondcross.CatalogueCheckpointReadConfig{Checkpoint: checkpoint},
	))
	if err != nil {
		return errors.Trace(err)
	}
	loader.next = after
	return nil
}

// putEmpty publishes a catalogue without entries for a stream without records.
func (loader *Loader) putEmpty(ctx context.Context) error {
	return errors.Trace(loader.config.Sink.Put(ctx, almondcross.NewCatalogueLoaded(almondcross.CatalogueLoadedConfig{
		Catalogue: almondcross.NewCatalogue().WithOffset(0),
	})))
}

// newest returns the checkpoint with the highest offset among the last records of its stream.
func (loader *Loader) newest(ctx context.Context) (almondcross.CatalogueCheckpoint, bool, error) {
	var best almondcross.CatalogueCheckpoint
	found := false
	oldest, end, err := loader.config.Reader.End(ctx, almondcross.StreamCatalogueCheckpoint)
	if err != nil {
		return best, false, errors.Annotate(err, "finding the end of the checkpoint stream")
	}
	for last := end; last > oldest && !found; last -= checkpointsTried {
		first := max(oldest, last-checkpointsTried)
		for from := first; from < last; {
			batch, err := loader.config.Reader.Read(
				ctx, almondcross.StreamCatalogueCheckpoint, from, int(last-from), 0,
			)
			if err != nil {
				return best, false, errors.Annotate(err, "reading the checkpoint stream")
			}
			if batch.Next() <= from {
				break
			}
			from = batch.Next()
			for _, record := range batch.Records() {
				checkpoint, err := loader.config.Codec.DecodeCatalogueCheckpoint(record)
				if err == nil && (!found || checkpoint.Catalogue().Offset() > best.Catalogue().Offset()) {
					best, found = checkpoint, true
				}
			}
		}
	}
	return best, found, nil
}

// askPeers asks every member of the view for a newer catalogue.
func (loader *Loader) askPeers() {
	view := loader.config.Members.View()
	request := almondcross.NewPeerCatalogueRequest(almondcross.PeerCatalogueRequestConfig{
		Member: view.Self().ID(), Offset: loader.config.Catalogue.Catalogue().Offset(),
	})
	for name := range view.Peers() {
		loader.config.Peers.Send(name, request)
	}
}
