package assembler

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/examples"
	"github.com/almondcross/almondcross/query/lister"
	"github.com/almondcross/almondcross/requester"
)

const (
	readyPollInterval = 100 * time.Millisecond
	// meanRequestInterval is the mean time between two requests.
	meanRequestInterval = 20 * time.Millisecond
)

func (demo *demo) client(host int, role almondcross.Role) (*requester.Client, error) {
	return requester.New(requester.Config{Server: demo.hosts[host%len(demo.hosts)], Token: demoToken + string(role)})
}

func (demo *demo) reader(host int) (*lister.Client, error) {
	return lister.NewClient(requester.Config{
		Server: demo.hosts[host%len(demo.hosts)], Token: demoToken + string(almondcross.RoleOperator),
	})
}

// pollUntil polls a condition until it holds or the context ends.
func pollUntil(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
	return nil
}

// publishCatalogues publishes both example catalogues and waits until every host has read them.
func (demo *demo) publishCatalogues(ctx context.Context) error {
	operator, err := demo.client(0, almondcross.RoleOperator)
	if err != nil {
		return err
	}
	count := 0
	for _, file := range []string{"registers.jsonc", "deliveries.jsonc"} {
		source, err := examples.Catalogues.ReadFile(file)
		if err != nil {
			return errors.Trace(err)
		}
		catalogue, err := encoder.DecodeCatalogueFile(file, source)
		if err != nil {
			return errors.Trace(err)
		}
		for _, entry := range catalogue.Entries() {
			if err := demo.publishEntry(ctx, operator, entry); err != nil {
				return errors.Annotatef(err, "entry %s", entry.Name())
			}
			count++
		}
	}
	for host := range demo.hosts {
		reader, err := demo.reader(host)
		if err != nil {
			return err
		}
		err = pollUntil(ctx, func() bool {
			status, err := reader.Status(ctx)
			return err == nil && status.Ready && len(status.Targets) > 0 && status.CatalogueOffset >= almondcross.Offset(count)
		})
		if err != nil {
			return errors.Annotate(err, "waiting for the hosts")
		}
	}
	demo.printf("published %d entries\n", count)
	return nil
}

func (demo *demo) publishEntry(ctx context.Context, operator *requester.Client, entry almondcross.Entry) error {
	body, err := json.Marshal(encoder.NewEntryJSON(entry))
	if err != nil {
		return errors.Trace(err)
	}
	var outcome encoder.ChangeOutcomeJSON
	return pollUntil(ctx, func() bool {
		response, err := operator.Do(ctx, requester.Call{
			Method: http.MethodPost, Path: []string{"v1", "catalogue"},
			Body: encoder.ChangeBody{Name: entry.Name(), Entry: body},
		})
		return err == nil && json.Unmarshal(response.Body, &outcome) == nil && outcome.Accepted
	})
}

// demoRequestKind is a kind of request. The run times fit the classes of the entries.
type demoRequestKind struct {
	entry    string
	weight   int
	minRunMS int
	maxRunMS int
	timeout  time.Duration
}

var demoRequestMix = []demoRequestKind{
	{entry: "balance-lookup", weight: 60, minRunMS: 2, maxRunMS: 20, timeout: 2 * time.Second},
	{entry: "change-confirmation", weight: 25, minRunMS: 5, maxRunMS: 40, timeout: 2 * time.Second},
	{entry: "delivery-planning", weight: 8, minRunMS: 50, maxRunMS: 400, timeout: 5 * time.Second},
	{entry: "patronage-tally", weight: 5, minRunMS: 500, maxRunMS: 3000, timeout: 5 * time.Second},
	{entry: "dividend-allocation", weight: 1, minRunMS: 200, maxRunMS: 500, timeout: 5 * time.Second},
	{entry: "monthly-reconciliation", weight: 1, minRunMS: 200, maxRunMS: 500, timeout: 5 * time.Second},
}

func (demo *demo) pickRequestKind() demoRequestKind {
	totalWeight := 0
	for _, kind := range demoRequestMix {
		totalWeight += kind.weight
	}
	remainder := demo.random.IntN(totalWeight)
	for _, kind := range demoRequestMix {
		if remainder < kind.weight {
			return kind
		}
		remainder -= kind.weight
	}
	return demoRequestMix[0]
}

// demoResult is the result of one request.
type demoResult struct {
	entry   string
	outcome encoder.OutcomeJSON
	latency time.Duration
	err     error
}

// sendRequests sends requests for the duration of the demo and returns the results of all of them.
func (demo *demo) sendRequests(ctx context.Context) ([]demoResult, error) {
	resultChannel := make(chan demoResult, 4096)
	sent := 0
	endTimer := time.NewTimer(demo.duration)
	defer endTimer.Stop()
	sendTimer := time.NewTimer(0)
	defer sendTimer.Stop()
	for sending := true; sending; {
		select {
		case <-ctx.Done():
			return nil, errors.Trace(ctx.Err())
		case <-endTimer.C:
			sending = false
		case <-sendTimer.C:
			caller, err := demo.client(sent, almondcross.RoleCaller)
			if err != nil {
				return nil, err
			}
			kind := demo.pickRequestKind()
			body := demo.newRequestBody(kind, sent)
			go func() { resultChannel <- sendRequest(ctx, caller, kind, body) }()
			sent++
			sendTimer.Reset(time.Duration(demo.random.Int64N(int64(2 * meanRequestInterval))))
		}
	}
	var results []demoResult
	for range sent {
		select {
		case result := <-resultChannel:
			results = append(results, result)
		case <-ctx.Done():
			return nil, errors.Trace(ctx.Err())
		}
	}
	return results, nil
}

func (demo *demo) newRequestBody(kind demoRequestKind, number int) encoder.RequestBody {
	runMS := kind.minRunMS + demo.random.IntN(kind.maxRunMS-kind.minRunMS)
	now := time.Now().UTC().Round(time.Millisecond)
	return encoder.RequestBody{
		Entry: kind.entry, Key: fmt.Sprintf("demo-%d-%d", demo.seed, number), Origin: demoDataCentre,
		Payload:  fmt.Appendf(nil, `{"run_ms":%d,"echo":"answer %d"}`, runMS, number),
		IssuedAt: &now, Timeout: encoder.Duration(kind.timeout),
	}
}

func sendRequest(ctx context.Context, caller *requester.Client, kind demoRequestKind, body encoder.RequestBody) demoResult {
	startTime := time.Now()
	result := demoResult{entry: kind.entry}
	response, err := caller.Do(ctx, requester.Call{Method: http.MethodPost, Path: []string{"v1", "requests"}, Body: body})
	result.latency = time.Since(startTime)
	if err != nil {
		result.err = err
		return result
	}
	result.err = json.Unmarshal(response.Body, &result.outcome)
	return result
}
