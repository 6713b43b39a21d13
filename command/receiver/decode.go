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

// decodeRequest decodes and validates a request; the caller is the bearer of the token. It rejects an issued_at that is
// ahead of the clock by more than the allowed skew, because the coordinator starts keys that were issued after the last
// loss of a member without waiting for HoldBack.
func (receiver *Receiver) decodeRequest(body io.Reader, caller string) (almondcross.Request, error) {
	var decoded encoder.RequestBody
	if err := decodeBody(body, &decoded); err != nil {
		return almondcross.Request{}, err
	}
	if !parser.ValidName(decoded.Entry) {
		return almondcross.Request{}, errors.Errorf("entry: found %.60q; allowed: the name of an entry", decoded.Entry)
	}
	if err := checkKey(decoded.Key); err != nil {
		return almondcross.Request{}, err
	}
	if err := checkOrigin(decoded.Origin, receiver.config.DataCentres); err != nil {
		return almondcross.Request{}, err
	}
	timeout := time.Duration(decoded.Timeout)
	if timeout < 0 || timeout > receiver.config.MaxRequestTimeout {
		return almondcross.Request{}, errors.Errorf("timeout: found %s; allowed: from 0s (the default of the host) to %s",
			decoded.Timeout, encoder.Duration(receiver.config.MaxRequestTimeout))
	}
	if timeout == 0 {
		timeout = receiver.config.RequestTimeout
	}
	var issuedAt time.Time
	if decoded.IssuedAt != nil {
		issuedAt = *decoded.IssuedAt
	}
	if latest := receiver.config.Clock.Now().Add(almondcross.CallerClockSkew); issuedAt.After(latest) {
		return almondcross.Request{}, errors.Errorf("issued_at: found %s; allowed: at most %s ahead of the host's clock",
			issuedAt.Format(time.RFC3339Nano), encoder.Duration(almondcross.CallerClockSkew))
	}
	key := almondcross.NewKey(almondcross.KeyConfig{Caller: caller, Origin: decoded.Origin, Name: decoded.Key})
	request := almondcross.NewRequest(almondcross.RequestConfig{
		Key: key, Entry: decoded.Entry, Payload: decoded.Payload, IssuedAt: issuedAt, Timeout: timeout, Retry: decoded.Retry,
	})
	return request, nil
}

// decodeChange decodes and validates a change of the catalogue; the operator is the bearer of the token.
func decodeChange(body io.Reader, operator, id string) (almondcross.CatalogueChange, error) {
	var decoded encoder.ChangeBody
	if err := decodeBody(body, &decoded); err != nil {
		return almondcross.CatalogueChange{}, err
	}
	if !parser.ValidName(decoded.Name) {
		return almondcross.CatalogueChange{}, errors.Errorf("name: found %.60q; allowed: the name of an entry", decoded.Name)
	}
	if decoded.ExpectedVersion < 0 {
		return almondcross.CatalogueChange{}, errors.Errorf("expected_version: found %d; allowed: 0 for a new entry, or its version", decoded.ExpectedVersion)
	}
	config := almondcross.CatalogueChangeConfig{
		ID: id, Name: decoded.Name, Removed: decoded.Removed, Expected: decoded.ExpectedVersion, Operator: operator,
	}
	if decoded.Removed {
		if len(decoded.Entry) > 0 {
			return almondcross.CatalogueChange{}, errors.New("entry: found an entry; allowed: none with removed")
		}
		return almondcross.NewCatalogueChange(config), nil
	}
	entry, err := encoder.DecodeEntry("entry", decoded.Entry)
	if err != nil {
		return almondcross.CatalogueChange{}, err
	}
	if entry.Name() != decoded.Name {
		return almondcross.CatalogueChange{}, errors.Errorf("entry.name: found %q; allowed: %s", entry.Name(), fmt.Sprintf("%q, as in name", decoded.Name))
	}
	config.Entry = entry
	return almondcross.NewCatalogueChange(config), nil
}
