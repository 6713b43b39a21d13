package encoder

import (
	"time"

	"github.com/almondcross/almondcross"
)

type wireAccountGap struct {
	Member       wireMemberID `cbor:"member"`
	DataCentre   string       `cbor:"data_centre"`
	FromSequence uint64       `cbor:"from_sequence,omitempty"`
	ToSequence   uint64       `cbor:"to_sequence,omitempty"`
	After        time.Time    `cbor:"after"`
}

type wireUsageHour struct {
	DataCentre string           `cbor:"data_centre"`
	From       time.Time        `cbor:"from"`
	To         time.Time        `cbor:"to"`
	Batches    int              `cbor:"batches"`
	Lines      []wireUsageLine  `cbor:"lines"`
	Gaps       []wireAccountGap `cbor:"gaps,omitempty"`
	Incomplete bool             `cbor:"incomplete,omitempty"`
}

// EncodeUsageHour returns the record body of the usage of one hour.
func (codec Codec) EncodeUsageHour(hour almondcross.UsageHour) ([]byte, error) {
	config := hour.Config()
	wire := wireUsageHour{
		DataCentre: config.DataCentre, From: config.From, To: config.To, Batches: config.Batches, Incomplete: config.Incomplete,
	}
	for _, line := range config.Lines {
		wire.Lines = append(wire.Lines, wireUsageLine(line.Config()))
	}
	for _, gap := range config.Gaps {
		wire.Gaps = append(wire.Gaps, wireAccountGap{
			Member: toMemberID(gap.Member()), DataCentre: gap.DataCentre(),
			FromSequence: gap.FromSequence(), ToSequence: gap.ToSequence(), After: gap.After(),
		})
	}
	return codec.encodeEnvelope(recordUsageHour, wire)
}

// DecodeUsageHour returns the usage of one hour from a record.
func (codec Codec) DecodeUsageHour(record almondcross.Record) (almondcross.UsageHour, error) {
	var wire wireUsageHour
	if _, err := codec.decodeRecord(record, &wire, recordUsageHour); err != nil {
		return almondcross.UsageHour{}, err
	}
	config := almondcross.UsageHourConfig{
		DataCentre: wire.DataCentre, From: wire.From, To: wire.To, Batches: wire.Batches, Incomplete: wire.Incomplete,
	}
	for _, line := range wire.Lines {
		config.Lines = append(config.Lines, almondcross.NewUsageLine(almondcross.UsageLineConfig(line)))
	}
	for _, gap := range wire.Gaps {
		config.Gaps = append(config.Gaps, almondcross.NewAccountGap(almondcross.AccountGapConfig{
			Member: gap.Member.value(), DataCentre: gap.DataCentre,
			FromSequence: gap.FromSequence, ToSequence: gap.ToSequence, After: gap.After,
		}))
	}
	return almondcross.NewUsageHour(config), nil
}
