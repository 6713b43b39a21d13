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

// wireWorkspaceSettings is a wireIntakeSettings of an intake with a workspace. A host of format 1 leaves it out as unreadable, and
// admits the job without settings and workspace.
type wireWorkspaceSettings struct {
	_         struct{} `cbor:",toarray"`
	Job       string
	Version   int64
	Queue     wireQueue
	Workspace string
}

// intakeSettings is either form of the record, with an empty workspace for wireIntakeSettings.
type intakeSettings wireWorkspaceSettings

// The first bytes of the encoded forms of the settings of an intake: the CBOR headers of arrays of three and four fields.
const (
	intakeSettingsHeader    = 0x83
	workspaceSettingsHeader = 0x84
)

// EncodeIntake returns the encoded records of a submitted job or cancellation: its settings, if they are known or it has a
// workspace, and the job.
func (codec Codec) EncodeIntake(intake almondcross.Intake) ([][]byte, error) {
	job, err := codec.encodeIntakeJob(intake)
	if err != nil || !intake.Settings().Known() && intake.Job().Workspace() == "" {
		return [][]byte{job}, errors.Trace(err)
	}
	settings, err := codec.encodeIntakeSettings(intake, intake.Job().Workspace())
	return [][]byte{settings, job}, errors.Trace(err)
}

// DecodeIntakes returns the intakes in consecutive records, and how many of the records it used: all, except for settings at
// the end whose job is not among the records. A single record is always used, so that no record is read again for ever.
func (codec Codec) DecodeIntakes(records [][]byte, unreadable func(index int, err error)) ([]almondcross.Intake, int) {
	intakes := make([]almondcross.Intake, 0, len(records))
	var settings intakeSettings
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
		settings = intakeSettings{}
	}
	return intakes, len(records)
}

func isIntakeSettings(record []byte) bool {
	return len(record) > 0 && (record[0] == intakeSettingsHeader || record[0] == workspaceSettingsHeader)
}

// complete returns the intake with the settings and the workspace if they are those of its job. An intake with a workspace may
// have settings that are not known.
func (intakesettings intakeSettings) complete(intake almondcross.Intake) almondcross.Intake {
	job := intake.Job()
	unnamed := intakesettings.Workspace != "" && intakesettings.Queue.Name == ""
	if intakesettings.Job != string(job.ID()) || intakesettings.Queue.Name != job.Queue() && !unnamed {
		return intake
	}
	if intakesettings.Workspace != "" {
		intake = intake.WithJob(job.WithWorkspace(intakesettings.Workspace))
	}
	if unnamed {
		return intake
	}
	return intake.WithSettings(intakesettings.Queue.settings(intakesettings.Version))
}

func (codec Codec) encodeIntakeSettings(intake almondcross.Intake, workspace string) ([]byte, error) {
	job, version, queue := string(intake.Job().ID()), intake.Settings().Version(), toQueue(intake.Settings().Queue())
	var record []byte
	var err error
	if workspace == "" {
		record, err = codec.encoding.Marshal(wireIntakeSettings{Job: job, Version: version, Queue: queue})
	} else {
		record, err = codec.encoding.Marshal(wireWorkspaceSettings{Job: job, Version: version, Queue: queue, Workspace: workspace})
	}
	return record, errors.Annotate(err, "encoding the settings of an intake")
}

func (codec Codec) decodeIntakeSettings(record []byte) (intakeSettings, error) {
	var settings intakeSettings
	var err error
	if len(record) > 0 && record[0] == workspaceSettingsHeader {
		var wire wireWorkspaceSettings
		err = codec.decoding.Unmarshal(record, &wire)
		settings = intakeSettings(wire)
	} else {
		var wire wireIntakeSettings
		err = codec.decoding.Unmarshal(record, &wire)
		settings = intakeSettings{Job: wire.Job, Version: wire.Version, Queue: wire.Queue}
	}
	if err != nil {
		return intakeSettings{}, errors.Annotatef(ErrMalformed, "settings of an intake: %v", err)
	}
	return settings, nil
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

// wireIntakeForward has the settings and the workspace apart from the job, since a host of an earlier version ignores a field that
// it does not know, and reads the job. It would close the link at settings in the form of wireWorkspaceSettings.
type wireIntakeForward struct {
	Number    int64  `cbor:"number"`
	Intake    []byte `cbor:"intake"`
	Settings  []byte `cbor:"settings,omitempty"`
	Workspace string `cbor:"workspace,omitempty"`
}

func (codec Codec) encodeIntakeForward(forwarded almondcross.IntakeForwarded) ([]byte, error) {
	intake := forwarded.Intake()
	job, err := codec.encodeIntakeJob(intake)
	if err != nil {
		return nil, errors.Trace(err)
	}
	wire := wireIntakeForward{Number: forwarded.Number(), Intake: job, Workspace: intake.Job().Workspace()}
	if intake.Settings().Known() {
		if wire.Settings, err = codec.encodeIntakeSettings(intake, ""); err != nil {
			return nil, errors.Trace(err)
		}
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
	if wire.Workspace != "" {
		intake = intake.WithJob(intake.Job().WithWorkspace(wire.Workspace))
	}
	return almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{Number: wire.Number, Intake: intake}), nil
}
