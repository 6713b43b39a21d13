package encoder_test

import (
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

// intakeBeforeSettings is the record of settledJob of a host that stored no settings.
const intakeBeforeSettings = "8288703563306537613231643934623336663861716081920100000000000000f6f4f4f4f4f4f460606000000000f4"

func noUnreadable(t *testing.T) func(int, error) {
	t.Helper()
	return func(index int, err error) { require.NoError(t, err, "record %d", index) }
}

// Guards against records of an intake that a host of the version before cannot read, which would lose an accepted job during
// an upgrade, and against a job of such a host that this version leaves out.
func TestIntakesOfBothVersionsAreRead(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	earlier, err := hex.DecodeString(intakeBeforeSettings)
	require.NoError(t, err)
	plain := almondcross.NewIntake(almondcross.IntakeConfig{Job: settledJob})
	intakes, used := codec.DecodeIntakes([][]byte{earlier}, noUnreadable(t))
	require.Equal(t, 1, used)
	require.Equal(t, settledJob.ID(), intakes[0].Job().ID())
	require.False(t, intakes[0].Settings().Known())
	records, err := codec.EncodeIntake(plain)
	require.NoError(t, err)
	require.Equal(t, [][]byte{earlier}, records)
	records, err = codec.EncodeIntake(plain.WithSettings(unversionedSettings.WithVersion(6)))
	require.NoError(t, err)
	require.Len(t, records, 2)
	require.Equal(t, earlier, records[1])
	require.NotEqual(t, earlier[0], records[0][0], "the version before takes the settings for no job: it refuses arrays of another length")
}

// Guards against settings that are lost between the accepting host and the scheduler, in the store or on the link, or that
// reach another job.
func TestSettingsReachTheirJob(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	settings := unversionedSettings.WithVersion(6)
	first := almondcross.NewIntake(almondcross.IntakeConfig{Job: settledJob, Settings: settings})
	other := first.WithJob(settledJob.WithID("5c0e7a21d94b36f9")).WithSettings(almondcross.QueueSettings{})
	cancel := almondcross.NewIntake(almondcross.IntakeConfig{Job: settledJob.WithSteps([]almondcross.Step{}), Settings: settings.WithVersion(7), Cancel: true})
	var records [][]byte
	for _, intake := range []almondcross.Intake{first, other, cancel, first} {
		encoded, err := codec.EncodeIntake(intake)
		require.NoError(t, err)
		records = append(records, encoded...)
	}
	intakes, used := codec.DecodeIntakes(records, noUnreadable(t))
	require.Equal(t, len(records), used)
	require.Equal(t, []almondcross.QueueSettings{settings, {}, settings.WithVersion(7), settings}, settingsOf(intakes))
	require.True(t, intakes[2].Cancel())
	intakes, used = codec.DecodeIntakes(records[:len(records)-1], noUnreadable(t))
	require.Equal(t, len(records)-2, used, "settings without their job are read again with it")
	require.Len(t, intakes, 3)
	_, used = codec.DecodeIntakes(records[:1], noUnreadable(t))
	require.Equal(t, 1, used, "a single record is not read again for ever")
	for _, sequence := range [][][]byte{{records[0], records[2]}, {{0x83}, records[1]}, {records[0], {0xff}, records[1]}} {
		intakes, _ = codec.DecodeIntakes(sequence, func(int, error) {})
		require.Equal(t, []almondcross.QueueSettings{{}}, settingsOf(intakes))
	}
	for _, intake := range []almondcross.Intake{first, other, cancel} {
		frame, err := codec.EncodeLink(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{Number: 3, Intake: intake}))
		require.NoError(t, err)
		message, err := codec.DecodeLink(frame)
		require.NoError(t, err)
		require.Equal(t, intake.Settings(), message.(almondcross.IntakeForwarded).Intake().Settings())
	}
}

func settingsOf(intakes []almondcross.Intake) []almondcross.QueueSettings {
	settings := make([]almondcross.QueueSettings, len(intakes))
	for index, intake := range intakes {
		settings[index] = intake.Settings()
	}
	return settings
}
