package encoder

import (
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

type wireIntake struct {
	_      struct{} `cbor:",toarray"`
	Job    wireJob
	Cancel bool
}

// wireIntakeSettings is the record that precedes the job or cancellation that was accepted with the settings. A host of the version before
// leaves it out as unreadable and reads the job in the record that follows.
type wireIntakeSettings struct {
	_       struct{} `cbor:",toarray"`
	Job     string
	Version int64
	Queue   wireQueue
}

// intakeSettingsHeader is the first byte of an encoded wireIntakeSettings, the CBOR header of an array of its three fields.
const intakeSettingsHeader = 0x83

// EncodeIntake returns the encoded records of a submitted job or cancellation: its settings, if they are known, and the job.
func (codec Codec) EncodeIntake(intake almondcross.Intake) ([][]byte, error) {
	job, err := codec.encodeIntakeJob(intake)
	if err != nil || !intake.Settings().Known() {
		return [][]byte{job}, errors.Trace(err)
	}
	settings, err := codec.encodeIntakeSettings(intake)
	return [][]byte{settings, job}, errors.Trace(err)
}

// DecodeIntakes returns the intakes in consecutive records, and how many of the records it used: all, except for settings at
// the end whose job is not among the records. A single record is always used, so that no record is read again for ever.
func (codec Codec) DecodeIntakes(records [][]byte, unreadable func(index int, err error)) ([]almondcross.Intake, int) {
	intakes := make([]almondcross.Intake, 0, len(records))
	var settings wireIntakeSettings
	for index, record := range records {
		if isIntakeSettings(record) {
			if index == len(records)-1 && index > 0 {
				return intakes, index
			}
			var err error
			if settings, err = codec.decodeIntakeSettings(record); err != nil {
				unreadable(index, err)
			}
			continue
		}
		intake, err := codec.decodeIntakeJob(record)
		if err != nil {
			unreadable(index, err)
		} else {
			intakes = append(intakes, settings.complete(intake))
		}
		settings = wireIntakeSettings{}
	}
	return intakes, len(records)
}

func isIntakeSettings(record []byte) bool {
	return len(record) > 0 && record[0] == intakeSettingsHeader
}

// complete returns the intake with the settings if they are those of its job.
func (wireintakesettings wireIntakeSettings) complete(intake almondcross.Intake) almondcross.Intake {
	job := intake.Job()
	if wireintakesettings.Job != string(job.ID()) || wireintakesettings.Queue.Name != job.Queue() {
		return intake
	}
	return intake.WithSettings(wireintakesettings.Queue.settings(wireintakesettings.Version))
}

func (codec Codec) encodeIntakeSettings(intake almondcross.Intake) ([]byte, error) {
	settings := intake.Settings()
	record, err := codec.encoding.Marshal(wireIntakeSettings{
		Job: string(intake.Job().ID()), Version: settings.Version(), Queue: toQueue(settings.Queue()),
	})
	return record, errors.Annotate(err, "encoding the settings of an intake")
}

func (codec Codec) decodeIntakeSettings(record []byte) (wireIntakeSettings, error) {
	var wire wireIntakeSettings
	if err := codec.decoding.Unmarshal(record, &wire); err != nil {
		return wireIntakeSettings{}, errors.Annotatef(ErrMalformed, "settings of an intake: %v", err)
	}
	return wire, nil
}

func (codec Codec) encodeIntakeJob(intake almondcross.Intake) ([]byte, error) {
	record, err := codec.encoding.Marshal(wireIntake{Job: toJob(intake.Job()), Cancel: intake.Cancel()})
	return record, errors.Annotate(err, "encoding an intake")
}

func (codec Codec) decodeIntakeJob(record []byte) (almondcross.Intake, error) {
	var wire wireIntake
	if err := codec.decoding.Unmarshal(record, &wire); err != nil {
		return almondcross.Intake{}, errors.Annotatef(ErrMalformed, "intake record: %v", err)
	}
	job, err := wire.Job.value()
	if err != nil {
		return almondcross.Intake{}, errors.Annotate(err, "intake record")
	}
	if !wire.Cancel && len(job.Steps()) == 0 {
		return almondcross.Intake{}, errors.Annotate(ErrMalformed, "intake record: a job without steps")
	}
	return almondcross.NewIntake(almondcross.IntakeConfig{Job: job, Cancel: wire.Cancel}), nil
}

// wireIntakeForward has the settings apart from the job, since a host of the version before ignores a field that it does not
// know, and reads the job.
type wireIntakeForward struct {
	Number   int64  `cbor:"number"`
	Intake   []byte `cbor:"intake"`
	Settings []byte `cbor:"settings,omitempty"`
}

func (codec Codec) encodeIntakeForward(forwarded almondcross.IntakeForwarded) ([]byte, error) {
	records, err := codec.EncodeIntake(forwarded.Intake())
	if err != nil {
		return nil, errors.Trace(err)
	}
	wire := wireIntakeForward{Number: forwarded.Number(), Intake: records[len(records)-1]}
	if len(records) > 1 {
		wire.Settings = records[0]
	}
	return codec.encodeEnvelope(linkIntakeForward, wire)
}

func (codec Codec) decodeIntakeForward(envelope wireEnvelope) (almondcross.LinkMessage, error) {
	var wire wireIntakeForward
	if err := codec.decodeBody(envelope, &wire); err != nil {
		return nil, err
	}
	intake, err := codec.decodeIntakeJob(wire.Intake)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(wire.Settings) > 0 {
		settings, err := codec.decodeIntakeSettings(wire.Settings)
		if err != nil {
			return nil, errors.Trace(err)
		}
		intake = settings.complete(intake)
	}
	return almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{Number: wire.Number, Intake: intake}), nil
}
