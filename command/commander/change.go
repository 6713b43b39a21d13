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

// change sends one change and returns the offset from which it is in force. An uncertain answer,
// or one without that offset, is resolved by reading the catalogue until the entry has another
// version than the expected one.
func (session session) change(ctx context.Context, body encoder.ChangeBody, wanted almondcross.Entry) (almondcross.Offset, error) {
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
	return session.resolve(ctx, body, wanted)
}

// resolve finds out what became of a change whose answer is not known. Another operator's equal
// change cannot be told from this one and has the same effect.
func (session session) resolve(ctx context.Context, body encoder.ChangeBody, wanted almondcross.Entry) (almondcross.Offset, error) {
	var decided, same bool
	var version almondcross.Offset
	poll(ctx, func() bool {
		session.progress("%s: the answer is not known, reading the catalogue", body.Name)
		catalogue, err := session.viewer.Catalogue(ctx)
		if err != nil {
			return false
		}
		entry, exists := catalogue.Entry(body.Name)
		if exists && body.ExpectedVersion != 0 && entry.Version() == body.ExpectedVersion || !exists && body.ExpectedVersion == 0 {
			return false
		}
		decided, version = true, catalogue.Offset()
		if exists {
			version = entry.Version()
		}
		same = exists != body.Removed && (body.Removed || equal(entry, wanted))
		return true
	})
	session.progress("")
	if !decided {
		return 0, requester.Uncertain(errors.Errorf("%s: the change may or may not be accepted; look at catalogue history %s", body.Name, body.Name))
	}
	if !same {
		return 0, requester.Failed(errors.Errorf("%s: another change came first (version %d)", body.Name, version))
	}
	return version, nil
}

func equal(current, wanted almondcross.Entry) bool {
	lines, err := difference(current, wanted, true)
	return err == nil && len(lines) == 0
}

// putBody returns the body that asks for a step.
func putBody(step step) (encoder.ChangeBody, error) {
	entry, err := json.Marshal(encoder.NewEntryShape(step.entry.WithVersion(0)))
	if err != nil {
		return encoder.ChangeBody{}, errors.Annotate(err, "encoding the entry")
	}
	return encoder.ChangeBody{Name: step.entry.Name(), Entry: entry, ExpectedVersion: step.expected}, nil
}

// waitUntilReached waits until every data centre reports an offset. A change that is accepted but
// not seen everywhere in time ends as uncertain and names the data centres.
func (session session) waitUntilReached(ctx context.Context, version almondcross.Offset) error {
	var late []string
	var last error
	reached := poll(ctx, func() bool {
		offsets, err := session.viewer.Offsets(ctx)
		if err != nil {
			last = err
			return false
		}
		last = nil
		late = slices.DeleteFunc(describeLate(offsets, version), func(text string) bool { return text == "" })
		session.progress("waiting for offset %d: %s", version, strings.Join(late, ", "))
		return len(offsets) > 0 && len(late) == 0
	})
	session.progress("")
	switch {
	case reached:
		session.printf("in force in every data centre\n")
		return nil
	case len(late) == 0:
		return requester.Uncertain(errors.Errorf("accepted, but the status could not be read: %v", last))
	default:
		return requester.Uncertain(errors.Errorf("accepted, but not yet seen in force: %s", strings.Join(late, ", ")))
	}
}

// describeLate returns a text for each data centre that has not reached an offset, else "".
func describeLate(offsets []almondcross.DataCentreOffset, version almondcross.Offset) []string {
	texts := make([]string, len(offsets))
	for index, offset := range offsets {
		switch {
		case offset.Reached(version):
		case offset.Members() == 0:
			texts[index] = offset.DataCentre() + " (no host seen)"
		default:
			texts[index] = fmt.Sprintf("%s (offset %d of %d)", offset.DataCentre(), offset.Offset(), version)
		}
	}
	return texts
}
