package cataloguer

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/retrier"
)

// Limits and delays of the loader.
const (
	pollTimeout     = 10 * time.Second
	maxBatchRecords = 500
	// checkpointBatchRecords is the number of records of the checkpoint stream that are read at a time,
	// backwards from its end. One record is not enough, because the last ones can be probes.
	checkpointBatchRecords = 8
	minRetryDelay          = 250 * time.Millisecond
	// maxRetryDelay limits the time until a host notices that the log can be reached again.
	maxRetryDelay = 2 * time.Second
)

// errStreamGap means that the log has trimmed records that no checkpoint covers.
const errStreamGap = errors.ConstError("the catalogue stream is trimmed and no checkpoint covers the gap")

// LoaderConfig holds the dependencies of a loader.
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
	config     LoaderConfig
	nextOffset almondcross.Offset // the offset to read from next, -1 if the checkpoint is to be read first
	readFailed bool               // whether the last read failed
}

// NewLoader returns a loader.
func NewLoader(config LoaderConfig) *Loader {
	if config.Logger == nil {
		config.Logger = logrus.StandardLogger()
	}
	return &Loader{config: config, nextOffset: -1}
}

// Run reads until the context ends. After each failed read it requests the catalogue from the peers and
// retries with backoff.
func (loader *Loader) Run(ctx context.Context) error {
	retries := retrier.New(retrier.Config{MinDelay: minRetryDelay, MaxDelay: maxRetryDelay})
	for ctx.Err() == nil {
		err := loader.readNext(ctx)
		if err == nil {
			retries.Reset()
			loader.setReadFailed(false, nil)
			continue
		}
		if ctx.Err() != nil {
			break
		}
		loader.setReadFailed(true, err)
		loader.requestCatalogues()
		retries.Pause(ctx)
	}
	return nil
}

func (loader *Loader) setReadFailed(failed bool, err error) {
	if loader.readFailed == failed {
		return
	}
	loader.readFailed = failed
	if failed {
		loader.config.Logger.WithError(err).Warn("catalogue stream cannot be read")
		return
	}
	loader.config.Logger.Info("catalogue stream can be read again")
}

func (loader *Loader) readNext(ctx context.Context) error {
	if loader.nextOffset < 0 {
		return loader.loadCheckpoint(ctx)
	}
	batch, err := loader.config.Reader.Read(ctx, almondcross.StreamCatalogue, loader.nextOffset, maxBatchRecords, pollTimeout)
	if errors.Is(err, almondcross.ErrLogTrimmed) {
		loader.nextOffset = -1
		return nil
	}
	if err != nil {
		return errors.Annotate(err, "reading the catalogue stream")
	}
	if batch.Next() <= loader.nextOffset {
		return nil
	}
	var changes []almondcross.CatalogueChange
	for _, record := range batch.Records() {
		change, err := loader.config.Codec.DecodeChange(record)
		if err != nil {
			// Every host skips the same records: probes and records that no host can decode.
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
	loader.nextOffset = batch.Next()
	return nil
}

// loadCheckpoint reads the newest checkpoint and sets the offset from which to read the stream. It
// returns errStreamGap if records between the two are missing.
func (loader *Loader) loadCheckpoint(ctx context.Context) error {
	oldest, end, err := loader.config.Reader.End(ctx, almondcross.StreamCatalogue)
	if err != nil {
		return errors.Annotate(err, "finding the start of the catalogue stream")
	}
	checkpoint, found, err := loader.newestCheckpoint(ctx)
	if err != nil {
		return err
	}
	if !found {
		// A stream that starts at 0 or 1 was never trimmed.
		if oldest > 1 {
			return errors.Trace(errStreamGap)
		}
		loader.nextOffset = oldest
		if end <= oldest {
			// A cell without entries has an empty catalogue, which must be published too.
			return loader.putEmptyCatalogue(ctx)
		}
		return nil
	}
	after := checkpoint.Catalogue().Offset() + 1
	if after < oldest {
		return errors.Annotatef(errStreamGap, "checkpoint up to %d, stream from %d", after-1, oldest)
	}
	err = loader.config.Sink.Put(ctx, almondcross.NewCatalogueCheckpointRead(
		almondcross.CatalogueCheckpointReadConfig{Checkpoint: checkpoint},
	))
	if err != nil {
		return errors.Trace(err)
	}
	loader.nextOffset = after
	return nil
}

// putEmptyCatalogue sends an empty catalogue to the cataloguer for a stream without records.
func (loader *Loader) putEmptyCatalogue(ctx context.Context) error {
	return errors.Trace(loader.config.Sink.Put(ctx, almondcross.NewCatalogueLoaded(almondcross.CatalogueLoadedConfig{
		Catalogue: almondcross.NewCatalogue().WithOffset(0),
	})))
}

// newestCheckpoint searches the checkpoint stream backwards in batches. It returns the checkpoint with
// the highest offset in the last batch that has one, and false if the stream has none.
func (loader *Loader) newestCheckpoint(ctx context.Context) (almondcross.CatalogueCheckpoint, bool, error) {
	var newest almondcross.CatalogueCheckpoint
	found := false
	oldest, end, err := loader.config.Reader.End(ctx, almondcross.StreamCatalogueCheckpoint)
	if err != nil {
		return newest, false, errors.Annotate(err, "finding the end of the checkpoint stream")
	}
	for last := end; last > oldest && !found; last -= checkpointBatchRecords {
		first := max(oldest, last-checkpointBatchRecords)
		for from := first; from < last; {
			batch, err := loader.config.Reader.Read(
				ctx, almondcross.StreamCatalogueCheckpoint, from, int(last-from), 0,
			)
			if err != nil {
				return newest, false, errors.Annotate(err, "reading the checkpoint stream")
			}
			if batch.Next() <= from {
				break
			}
			from = batch.Next()
			for _, record := range batch.Records() {
				checkpoint, err := loader.config.Codec.DecodeCatalogueCheckpoint(record)
				if err == nil && (!found || checkpoint.Catalogue().Offset() > newest.Catalogue().Offset()) {
					newest, found = checkpoint, true
				}
			}
		}
	}
	return newest, found, nil
}

// requestCatalogues requests a newer catalogue from every peer in the view.
func (loader *Loader) requestCatalogues() {
	view := loader.config.Members.View()
	request := almondcross.NewPeerCatalogueRequest(almondcross.PeerCatalogueRequestConfig{
		Member: view.Self().ID(), Offset: loader.config.Catalogue.Catalogue().Offset(),
	})
	for name := range view.Peers() {
		loader.config.Peers.Send(name, request)
	}
}
