package assembler

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/platform/client"
	"github.com/almondcross/almondcross/platform/querier"
	"github.com/almondcross/almondcross/platform/translator"
	"github.com/almondcross/almondcross/query/checker"
	"github.com/almondcross/almondcross/query/lister"
	"github.com/almondcross/almondcross/requester"
)

const (
	// maxConfigurationBytes is the maximum size of a configuration in bytes, that of the largest record that a store may be set to.
	maxConfigurationBytes = 16 << 20
	// configurationTimeout bounds the time for reading the versions in the store.
	configurationTimeout = 10 * time.Second
)

// configurationCommand returns the command for the operators' configuration of scheduling hosts.
func configurationCommand() *cobra.Command {
	command := &cobra.Command{
		Use: "configuration", Short: "Check the configuration of scheduling hosts",
		Long: "Checks the configuration that operators write to the platform's store.",
	}
	command.AddCommand(configurationCheckCommand())
	return command
}

// configurationFlags are the flags of the check of a configuration.
type configurationFlags struct {
	store, format string
	compare       bool // compare reports whether a store is given.
}

func configurationCheckCommand() *cobra.Command {
	var flags configurationFlags
	command := &cobra.Command{
		Use: "check FILE", Short: "Check a configuration before it is written to the store",
		Long: "Decodes a configuration (- for standard input) as scheduling hosts do, and shows errors, entries that have no effect,\n" +
			"and limits that contradict each other. With --store, it also shows the differences from the version in force there.\n" +
			"Keys of workspaces are never shown. Nothing is written.\n\n" +
			"Exit codes:\n" +
			"  0  no errors and no warnings; there may be differences\n" +
			"  1  errors or warnings, or the store cannot be read\n" +
			"  2  incorrect usage, or the file cannot be read",
		Example: "  almondcross configuration check next.json\n  almondcross configuration check next.json --store 10.200.1.7:8169",
		Args:    requester.Args(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, arguments []string) error {
			flags.compare = command.Flags().Changed("store")
			if err := flags.validate(); err != nil {
				return err
			}
			source, err := requester.ReadFile(command, arguments[0], maxConfigurationBytes)
			if err != nil {
				return err
			}
			return checkConfiguration(command, flags, source)
		},
	}
	command.Flags().StringVar(&flags.store, "store", "", "address of the platform's store, to compare with the version in force")
	lister.BindFormat(command, &flags.format)
	return command
}

func (configurationflags configurationFlags) validate() error {
	if err := lister.CheckFormat(configurationflags.format); err != nil {
		return err
	}
	if !configurationflags.compare {
		return nil
	}
	if host, port, err := net.SplitHostPort(configurationflags.store); err != nil || host == "" || port == "" {
		return requester.BadInput(errors.Errorf("--store: found %q; allowed: an address and port such as 10.200.1.7:8169", configurationflags.store))
	}
	return nil
}

// configurationReport is the result of a check.
type configurationReport struct {
	findings  []almondcross.Finding
	version   int64 // version is the version of the file, 0 if hosts reject it.
	inForce   int64 // inForce is the version in force in the store, 0 if it has none or was not read.
	storeRead bool
}

// checkConfiguration prints the findings of a configuration, and then returns an error if there are errors or warnings or if the
// store could not be read.
func checkConfiguration(command *cobra.Command, flags configurationFlags, source []byte) error {
	table, findings, valid := checker.Read(source, translator.Codec{})
	report := configurationReport{findings: findings}
	var storeErr error
	if valid {
		report.version = table.Version()
		report.findings = append(report.findings, checker.Check(table)...)
	}
	if valid && flags.compare {
		report, storeErr = report.compare(command, flags.store, table)
	}
	report.findings = checker.Sort(report.findings)
	if err := report.write(command, flags.format); err != nil {
		return requester.Failed(err)
	}
	switch errorCount, warningCount := report.count(almondcross.FindingError), report.count(almondcross.FindingWarning); {
	case storeErr != nil:
		return requester.Failed(errors.Annotatef(storeErr, "the differences are missing: the store %s cannot be read", flags.store))
	case errorCount+warningCount > 0:
		return requester.Failed(errors.Errorf("errors: %d, warnings: %d", errorCount, warningCount))
	default:
		return nil
	}
}

// compare returns a copy with the differences from the version in force in a store. With an error, it returns the same report.
func (configurationreport configurationReport) compare(
	command *cobra.Command, address string, table almondcross.RouteTable,
) (configurationReport, error) {
	ctx, cancel := context.WithTimeout(command.Context(), configurationTimeout)
	defer cancel()
	stored, err := checker.InForce(ctx, checker.StoreConfig{
		Reader: querier.NewStore(querier.StoreConfig{Address: address, Client: client.New()}), Codec: translator.Codec{},
		Partition: almondcross.Partition{Topic: translator.OperatorsTopic}, Key: translator.ConfigurationKey,
	})
	if err != nil {
		return configurationreport, errors.Trace(err)
	}
	configurationreport.storeRead = true
	if stored.NewestInvalid {
		_, _ = fmt.Fprintln(command.ErrOrStderr(), "note: hosts reject the newest configuration in the store")
	}
	if !stored.Found {
		_, _ = fmt.Fprintln(command.ErrOrStderr(), "note: the store has no valid configuration to compare with")
		return configurationreport, nil
	}
	configurationreport.inForce = stored.Table.Version()
	configurationreport.findings = append(configurationreport.findings, checker.Differences(stored.Table, table)...)
	return configurationreport, nil
}

func (configurationreport configurationReport) count(severity almondcross.FindingSeverity) int {
	count := 0
	for _, finding := range configurationreport.findings {
		if finding.Severity() == severity {
			count++
		}
	}
	return count
}

// findingJSON is a finding in the JSON format.
type findingJSON struct {
	Severity string `json:"severity"`
	Place    string `json:"place"`
	Text     string `json:"text"`
}

// configurationReportJSON is the report in the JSON format.
type configurationReportJSON struct {
	Version  int64         `json:"version"`
	InForce  int64         `json:"in_force"`
	Compared bool          `json:"compared"`
	Findings []findingJSON `json:"findings"`
}

func (configurationreport configurationReport) write(command *cobra.Command, format string) error {
	response := configurationReportJSON{
		Version: configurationreport.version, InForce: configurationreport.inForce, Compared: configurationreport.storeRead,
		Findings: []findingJSON{},
	}
	table := lister.Table{Header: []string{"severity", "place", "text"}}
	for _, finding := range configurationreport.findings {
		row := findingJSON{Severity: finding.Severity().String(), Place: finding.Place().String(), Text: finding.Text()}
		response.Findings = append(response.Findings, row)
		table.Rows = append(table.Rows, []string{row.Severity, row.Place, row.Text})
	}
	table.Response = response
	if format == "table" && len(table.Rows) == 0 {
		_, err := fmt.Fprintf(command.OutOrStdout(), "version %d: no findings\n", configurationreport.version)
		return errors.Trace(err)
	}
	return table.Write(command.OutOrStdout(), format)
}
