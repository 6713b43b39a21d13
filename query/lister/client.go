package lister

import (
	"context"
	"net/url"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/requester"
)

// Client queries the API of one entry host.
type Client struct {
	requester *requester.Client
}

// NewClient returns a Client. It returns an error if the configuration is invalid.
func NewClient(config requester.Config) (*Client, error) {
	client, err := requester.New(config)
	if err != nil {
		return nil, err
	}
	return &Client{requester: client}, nil
}

// Server returns the address of the host that the client queries.
func (client *Client) Server() string { return client.requester.Server() }

func get[T any](ctx context.Context, client *Client, query url.Values, path ...string) (T, error) {
	var response T
	err := client.requester.Get(ctx, path, query, &response)
	return response, err
}

// Catalogue returns the catalogue of the host.
func (client *Client) Catalogue(ctx context.Context) (almondcross.Catalogue, error) {
	response, err := client.Entries(ctx)
	return response.Catalogue(), err
}

// Offsets returns the catalogue offset that each data centre of the cell has reached.
func (client *Client) Offsets(ctx context.Context) ([]almondcross.DataCentreOffset, error) {
	response, err := client.Status(ctx)
	return response.DataCentreOffsets(), err
}

// DataCentre returns the data centre of the host.
func (client *Client) DataCentre(ctx context.Context) (string, error) {
	response, err := get[encoder.HealthJSON](ctx, client, nil, "healthz")
	return response.DataCentre, err
}

// Entries returns the API response with the entries of the catalogue, sorted by name.
func (client *Client) Entries(ctx context.Context) (encoder.CatalogueJSON, error) {
	return get[encoder.CatalogueJSON](ctx, client, nil, "v1", "catalogue")
}

// Entry returns one entry of the catalogue.
func (client *Client) Entry(ctx context.Context, name string) (encoder.EntryJSON, error) {
	return get[encoder.EntryJSON](ctx, client, nil, "v1", "catalogue", name)
}

// History returns the changes of one entry in a period.
func (client *Client) History(ctx context.Context, name string, period url.Values) (encoder.AuditTrailJSON, error) {
	return get[encoder.AuditTrailJSON](ctx, client, period, "v1", "catalogue", name, "history")
}

// Request returns the outcome of a request of the caller by its key.
func (client *Client) Request(ctx context.Context, key, origin string) (encoder.OutcomeJSON, error) {
	return get[encoder.OutcomeJSON](ctx, client, url.Values{"origin": {origin}}, "v1", "requests", key)
}

// Shares returns the promised and received shares.
func (client *Client) Shares(ctx context.Context, query url.Values) (encoder.ShareReportJSON, error) {
	return get[encoder.ShareReportJSON](ctx, client, query, "v1", "reports", "shares")
}

// Decisions returns the decisions of the host about a key or an entry.
func (client *Client) Decisions(ctx context.Context, query url.Values) (encoder.DecisionHistoryJSON, error) {
	return get[encoder.DecisionHistoryJSON](ctx, client, query, "v1", "reports", "why")
}

// Audit returns the changes of the catalogue.
func (client *Client) Audit(ctx context.Context, query url.Values) (encoder.AuditTrailJSON, error) {
	return get[encoder.AuditTrailJSON](ctx, client, query, "v1", "reports", "audit")
}

// Status returns the state of the host.
func (client *Client) Status(ctx context.Context) (encoder.StatusJSON, error) {
	return get[encoder.StatusJSON](ctx, client, nil, "v1", "status")
}
