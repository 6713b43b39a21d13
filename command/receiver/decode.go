package receiver

import (
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/parser"
)

// keyPattern allows only characters that need no escape in a URL path, and no slash, which separates the
// parts of a printed key.
var keyPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._~:-]{0,199}$`)

const keyFormat = "1 to 200 of A-Z, a-z, 0-9, '.', '_', '~', ':' and '-', with a letter or digit first"

// decodeBody decodes exactly one JSON value and rejects unknown fields.
func decodeBody(body io.Reader, target any) error {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return errors.Trace(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		if err == nil {
			return errors.New("more than one JSON value")
		}
		return errors.Trace(err)
	}
	return nil
}

func checkKey(name string) error {
	if !keyPattern.MatchString(name) {
		return errors.Errorf("key: found %.60q; allowed: %s", name, keyFormat)
	}
	return nil
}

func checkOrigin(origin string, dataCentres []string) error {
	if !slices.Contains(dataCentres, origin) {
		return errors.Errorf("origin: found %.60q; allowed: one of %s", origin, strings.Join(dataCentres, ", "))
	}
	return nil
}

// decodeRequest decodes and validates a request and returns it with its retry flag; the caller is the bearer of
// the token. It rejects an issued_at that is ahead of the clock by more than the allowed skew, because the
// coordinator starts keys that were issued after the last loss of a member without waiting for HoldBack.
func (receiver *Receiver) decodeRequest(body io.Reader, caller string) (almondcross.Request, bool, error) {
	var shape encoder.RequestBody
	if err := decodeBody(body, &shape); err != nil {
		return almondcross.Request{}, false, err
	}
	if !parser.ValidName(shape.Entry) {
		return almondcross.Request{}, false, errors.Errorf("entry: found %.60q; allowed: the name of an entry", shape.Entry)
	}
	if err := checkKey(shape.Key); err != nil {
		return almondcross.Request{}, false, err
	}
	if err := checkOrigin(shape.Origin, receiver.config.DataCentres); err != nil {
		return almondcross.Request{}, false, err
	}
	timeout := time.Duration(shape.Timeout)
	if timeout < 0 || timeout > receiver.config.RequestMax {
		return almondcross.Request{}, false, errors.Errorf("timeout: found %s; allowed: from 0s (the default of the host) to %s",
			shape.Timeout, encoder.Duration(receiver.config.RequestMax))
	}
	if timeout == 0 {
		timeout = receiver.config.RequestTimeout
	}
	var issuedAt time.Time
	if shape.IssuedAt != nil {
		issuedAt = *shape.IssuedAt
	}
	if latest := receiver.config.Clock.Now().Add(almondcross.CallerClockSkew); issuedAt.After(latest) {
		return almondcross.Request{}, false, errors.Errorf("issued_at: found %s; allowed: at most %s ahead of the host's clock",
			issuedAt.Format(time.RFC3339Nano), encoder.Duration(almondcross.CallerClockSkew))
	}
	key := almondcross.NewKey(almondcross.KeyConfig{Caller: caller, Origin: shape.Origin, Name: shape.Key})
	request := almondcross.NewRequest(almondcross.RequestConfig{
		Key: key, Entry: shape.Entry, Payload: shape.Payload, IssuedAt: issuedAt, Timeout: timeout,
	})
	return request, shape.Retry, nil
}

// decodeChange decodes and validates a change of the catalogue; the operator is the bearer of the token.
func decodeChange(body io.Reader, operator, id string) (almondcross.CatalogueChange, error) {
	var shape encoder.ChangeBody
	if err := decodeBody(body, &shape); err != nil {
		return almondcross.CatalogueChange{}, err
	}
	if !parser.ValidName(shape.Name) {
		return almondcross.CatalogueChange{}, errors.Errorf("name: found %.60q; allowed: the name of an entry", shape.Name)
	}
	if shape.ExpectedVersion < 0 {
		return almondcross.CatalogueChange{}, errors.Errorf("expected_version: found %d; allowed: 0 for a new entry, or its version", shape.ExpectedVersion)
	}
	config := almondcross.CatalogueChangeConfig{
		ID: id, Name: shape.Name, Removed: shape.Removed, Expected: shape.ExpectedVersion, Operator: operator,
	}
	if shape.Removed {
		if len(shape.Entry) > 0 {
			return almondcross.CatalogueChange{}, errors.New("entry: found an entry; allowed: none with removed")
		}
		return almondcross.NewCatalogueChange(config), nil
	}
	entry, err := encoder.DecodeEntry("entry", shape.Entry)
	if err != nil {
		return almondcross.CatalogueChange{}, err
	}
	if entry.Name() != shape.Name {
		return almondcross.CatalogueChange{}, errors.Errorf("entry.name: found %q; allowed: %s", entry.Name(), fmt.Sprintf("%q, as in name", shape.Name))
	}
	config.Entry = entry
	return almondcross.NewCatalogueChange(config), nil
}
