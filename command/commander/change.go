package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/requester"
)

// change sends one change and returns the offset from which it is in force. If the answer is lost,
// uncertain or lacks that offset, change reads the catalogue until the version of the entry differs from
// the expected one.
func (session session) change(ctx context.Context, body encoder.ChangeBody, desired almondcross.Entry) (almondcross.Offset, error) {
	outcome, err := session.client.change(ctx, body)
	switch {
	case errors.Is(err, requester.ErrNotSent), errors.Is(err, almondcross.ErrAPIRefused):
		return 0, requester.Failed(errors.Annotatef(err, "%s", body.Name))
	case err == nil && outcome.Accepted && outcome.Version > body.ExpectedVersion:
		return outcome.Version, nil
	case err == nil && outcome.Certain && !outcome.Accepted:
		return 0, requester.Failed(errors.Errorf("%s: refused as %s: %s (version %d expected, the catalogue has %d)",
			body.Name, outcome.Code, outcome.Message, body.ExpectedVersion, outcome.Version))
	}
	return session.resolveUncertain(ctx, body, desired)
}

// resolveUncertain determines the outcome of a change whose answer is not known by polling the
// catalogue. An equal change of another operator cannot be distinguished from this one, but it has the
// same effect. It returns an uncertain error if the entry has not changed when the context ends.
func (session session) resolveUncertain(ctx context.Context, body encoder.ChangeBody, desired almondcross.Entry) (almondcross.Offset, error) {
	var changed, matches bool
	var version almondcross.Offset
	poll(ctx, func() bool {
		session.showProgress("%s: the answer is not known, reading the catalogue", body.Name)
		catalogue, err := session.viewer.Catalogue(ctx)
		if err != nil {
			return false
		}
		entry, exists := catalogue.Entry(body.Name)
		if exists && body.ExpectedVersion != 0 && entry.Version() == body.ExpectedVersion || !exists && body.ExpectedVersion == 0 {
			return false
		}
		changed, version = true, catalogue.Offset()
		if exists {
			version = entry.Version()
		}
		matches = exists != body.Removed && (body.Removed || equalEntries(entry, desired))
		return true
	})
	session.showProgress("")
	if !changed {
		return 0, requester.Uncertain(errors.Errorf("%s: the change may or may not be accepted; check with catalogue history %s", body.Name, body.Name))
	}
	if !matches {
		return 0, requester.Failed(errors.Errorf("%s: another change came first (version %d)", body.Name, version))
	}
	return version, nil
}

func equalEntries(current, desired almondcross.Entry) bool {
	lines, err := diffEntries(current, desired, true)
	return err == nil && len(lines) == 0
}

// newChangeBody returns the request body for the change of an entry.
func newChangeBody(entrychange entryChange) (encoder.ChangeBody, error) {
	entry, err := json.Marshal(encoder.NewEntryJSON(entrychange.entry.WithVersion(0)))
	if err != nil {
		return encoder.ChangeBody{}, errors.Annotate(err, "encoding the entry")
	}
	return encoder.ChangeBody{Name: entrychange.entry.Name(), Entry: entry, ExpectedVersion: entrychange.expectedVersion}, nil
}

// waitForOffset waits until every data centre reports an offset. If the context ends before, it returns
// an uncertain error that names the lagging data centres.
func (session session) waitForOffset(ctx context.Context, offset almondcross.Offset) error {
	var lagging []string
	var lastErr error
	reached := poll(ctx, func() bool {
		offsets, err := session.viewer.Offsets(ctx)
		if err != nil {
			lastErr = err
			return false
		}
		lastErr = nil
		lagging = slices.DeleteFunc(describeLagging(offsets, offset), func(text string) bool { return text == "" })
		session.showProgress("waiting for offset %d: %s", offset, strings.Join(lagging, ", "))
		return len(offsets) > 0 && len(lagging) == 0
	})
	session.showProgress("")
	switch {
	case reached:
		session.printf("in force in every data centre\n")
		return nil
	case len(lagging) == 0:
		return requester.Uncertain(errors.Errorf("accepted, but the status could not be read: %v", lastErr))
	default:
		return requester.Uncertain(errors.Errorf("accepted, but not yet reported in force by every data centre: %s", strings.Join(lagging, ", ")))
	}
}

// describeLagging returns a text for each data centre; it is empty if the data centre has reached the
// wanted offset.
func describeLagging(offsets []almondcross.DataCentreOffset, wanted almondcross.Offset) []string {
	texts := make([]string, len(offsets))
	for index, offset := range offsets {
		switch {
		case offset.Reached(wanted):
		case offset.Members() == 0:
			texts[index] = offset.DataCentre() + " (no known host)"
		default:
			texts[index] = fmt.Sprintf("%s (offset %d of %d)", offset.DataCentre(), offset.Offset(), wanted)
		}
	}
	return texts
}
