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
	readyPoll = 100 * time.Millisecond
	// demoGap is the mean time between two requests.
	demoGap = 20 * time.Millisecond
)

func (demo *demo) client(host int, role almondcross.Role) (*requester.Client, error) {
	return requester.New(requester.Config{Server: demo.hosts[host%len(demo.hosts)], Token: demoToken + string(role)})
}

func (demo *demo) reader(host int) (*lister.Client, error) {
	return lister.NewClient(requester.Config{
		Server: demo.hosts[host%len(demo.hosts)], Token: demoToken + string(almondcross.RoleOperator),
	})
}

// until polls a check until it holds or the context ends.
func until(ctx context.Context, check func() bool) error {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for !check() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
	return nil
}

// publish writes both example catalogues and waits until every host has them.
func (demo *demo) publish(ctx context.Context) error {
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
			if err := demo.change(ctx, operator, entry); err != nil {
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
		err = until(ctx, func() bool {
			shape, err := reader.Status(ctx)
			return err == nil && shape.Ready && len(shape.Targets) > 0 && shape.CatalogueOffset >= almondcross.Offset(count)
		})
		if err != nil {
			return errors.Annotate(err, "waiting for the hosts")
		}
	}
	demo.printf("published %d entries\n", count)
	return nil
}

func (demo *demo) change(ctx context.Context, operator *requester.Client, entry almondcross.Entry) error {
	body, err := json.Marshal(encoder.NewEntryShape(entry))
	if err != nil {
		return errors.Trace(err)
	}
	var outcome encoder.ChangeOutcomeShape
	return until(ctx, func() bool {
		answer, err := operator.Do(ctx, requester.Call{
			Method: http.MethodPost, Path: []string{"v1", "catalogue"},
			Body: encoder.ChangeBody{Name: entry.Name(), Entry: body},
		})
		return err == nil && json.Unmarshal(answer.Body, &outcome) == nil && outcome.Accepted
	})
}

// demoWork is one kind of request; the run times follow the classes of the entries.
type demoWork struct {
	entry   string
	weight  int
	shortMS int
	longMS  int
	wait    time.Duration
}

var demoMix = []demoWork{
	{entry: "balance-lookup", weight: 60, shortMS: 2, longMS: 20, wait: 2 * time.Second},
	{entry: "change-confirmation", weight: 25, shortMS: 5, longMS: 40, wait: 2 * time.Second},
	{entry: "delivery-planning", weight: 8, shortMS: 50, longMS: 400, wait: 5 * time.Second},
	{entry: "patronage-tally", weight: 5, shortMS: 500, longMS: 3000, wait: 5 * time.Second},
	{entry: "dividend-allocation", weight: 1, shortMS: 200, longMS: 500, wait: 5 * time.Second},
	{entry: "monthly-reconciliation", weight: 1, shortMS: 200, longMS: 500, wait: 5 * time.Second},
}

func (demo *demo) pick() demoWork {
	total := 0
	for _, work := range demoMix {
		total += work.weight
	}
	draw := demo.random.IntN(total)
	for _, work := range demoMix {
		if draw < work.weight {
			return work
		}
		draw -= work.weight
	}
	return demoMix[0]
}

// demoOutcome is the answer to one request.
type demoOutcome struct {
	entry   string
	outcome encoder.OutcomeShape
	took    time.Duration
	err     error
}

// load sends requests for the duration and returns every answer.
func (demo *demo) load(ctx context.Context) ([]demoOutcome, error) {
	answers := make(chan demoOutcome, 4096)
	sent := 0
	end := time.NewTimer(demo.duration)
	defer end.Stop()
	gap := time.NewTimer(0)
	defer gap.Stop()
	for sending := true; sending; {
		select {
		case <-ctx.Done():
			return nil, errors.Trace(ctx.Err())
		case <-end.C:
			sending = false
		case <-gap.C:
			caller, err := demo.client(sent, almondcross.RoleCaller)
			if err != nil {
				return nil, err
			}
			work := demo.pick()
			body := demo.body(work, sent)
			go func() { answers <- send(ctx, caller, work, body) }()
			sent++
			gap.Reset(time.Duration(demo.random.Int64N(int64(2 * demoGap))))
		}
	}
	var outcomes []demoOutcome
	for range sent {
		select {
		case answer := <-answers:
			outcomes = append(outcomes, answer)
		case <-ctx.Done():
			return nil, errors.Trace(ctx.Err())
		}
	}
	return outcomes, nil
}

func (demo *demo) body(work demoWork, number int) encoder.RequestBody {
	run := work.shortMS + demo.random.IntN(work.longMS-work.shortMS)
	now := time.Now().UTC().Round(time.Millisecond)
	return encoder.RequestBody{
		Entry: work.entry, Key: fmt.Sprintf("demo-%d-%d", demo.seed, number), Origin: demoDataCentre,
		Payload:  fmt.Appendf(nil, `{"run_ms":%d,"echo":"answer %d"}`, run, number),
		IssuedAt: &now, Timeout: encoder.Duration(work.wait),
	}
}

func send(ctx context.Context, caller *requester.Client, work demoWork, body encoder.RequestBody) demoOutcome {
	began := time.Now()
	result := demoOutcome{entry: work.entry}
	answer, err := caller.Do(ctx, requester.Call{Method: http.MethodPost, Path: []string{"v1", "requests"}, Body: body})
	result.took = time.Since(began)
	if err != nil {
		result.err = err
		return result
	}
	result.err = json.Unmarshal(answer.Body, &result.outcome)
	return result
}
