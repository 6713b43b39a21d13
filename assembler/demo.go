package assembler

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
	"go.uber.org/fx"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/configurator"
	"github.com/almondcross/almondcross/requester"
	"github.com/almondcross/almondcross/standin/reserver"
)

const (
	demoWorkers    = 4
	demoHosts      = 2
	demoDataCentre = "demo-1"
	demoToken      = "demo-token-of-this-process-"
	// demoAccountInterval is the account interval of the demo. It is short so that the report is complete soon.
	demoAccountInterval = 2 * time.Second
	// demoTimeout bounds the demo in addition to the time in which it sends requests.
	demoTimeout = 20 * time.Second
)

// demoCommand returns the command that runs a whole cell in one process.
func demoCommand() *cobra.Command {
	var seed uint64
	var duration time.Duration
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run a small cell in this process and report the share of each owner, with the reasons",
		Long: "Runs stand-ins for the platform and four workers, and two entry hosts, in this process on loopback.\n" +
			"Publishes the example catalogues, sends requests for some seconds, and prints the outcomes, the account of\n" +
			"shares with its reasons, and the audit trail." + requester.ExitHelp,
		Example: "  almondcross demo\n  almondcross demo --seed 7 --duration 10s",
		Args:    requester.Args(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			if duration <= 0 || duration > time.Minute {
				return requester.BadInput(errors.Errorf("--duration: found %s; allowed: more than 0s, at most 1m", duration))
			}
			ctx, cancel := context.WithTimeout(command.Context(), duration+demoTimeout)
			defer cancel()
			return runDemo(ctx, demo{out: command.OutOrStdout(), duration: duration, random: rand.New(rand.NewPCG(seed, 1)), seed: seed})
		},
	}
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of the requests")
	command.Flags().DurationVar(&duration, "duration", 5*time.Second, "period in which requests are sent")
	return command
}

// demo is one run of the demo.
type demo struct {
	out      io.Writer
	duration time.Duration
	seed     uint64
	random   *rand.Rand
	hosts    []string // hosts holds the public addresses of the entry hosts.
}

func (demo *demo) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(demo.out, format, arguments...)
}

func runDemo(ctx context.Context, demo demo) error {
	apps, err := demo.start(ctx)
	defer stopApps(apps)
	if err != nil {
		return requester.Failed(errors.Annotate(err, "starting the cell"))
	}
	demo.printf("cell of %d entry hosts and %d workers on loopback, seed %d\n", demoHosts, demoWorkers, demo.seed)
	if err := demo.publishCatalogues(ctx); err != nil {
		return requester.Failed(errors.Annotate(err, "publishing the catalogue"))
	}
	results, err := demo.sendRequests(ctx)
	if err != nil {
		return requester.Failed(errors.Annotate(err, "sending requests"))
	}
	if err := demo.report(ctx, results); err != nil {
		return requester.Failed(errors.Annotate(err, "reporting"))
	}
	return nil
}

// start starts the platform, the workers and the entry hosts, in this order. If it fails, it returns the processes
// that were started, for the caller to stop.
func (demo *demo) start(ctx context.Context) ([]*fx.App, error) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	addresses := make([]string, 1+demoWorkers+2*demoHosts)
	for index := range addresses {
		reservation, err := reserver.Reserve("127.0.0.1")
		if err != nil {
			return nil, errors.Trace(err)
		}
		defer func() { _ = reservation.Release() }()
		addresses[index] = reservation.Address()
	}
	platform, workers, hosts := addresses[0], addresses[1:1+demoWorkers], addresses[1+demoWorkers:]
	options := []fx.Option{Platform(configurator.NewPlatformSettings(configurator.PlatformSettingsConfig{
		Listen: platform, Retention: time.Hour,
	}), logger)}
	for index, address := range workers {
		options = append(options, Worker(demoWorker(index, address, platform), logger))
	}
	for index := range demoHosts {
		options = append(options, Entry(demoEntry(index, hosts, platform), logger))
		demo.hosts = append(demo.hosts, hosts[2*index])
	}
	var apps []*fx.App
	for _, option := range options {
		app := fx.New(option)
		if err := app.Start(ctx); err != nil {
			return apps, errors.Trace(err)
		}
		apps = append(apps, app)
	}
	return apps, nil
}

// stopApps stops the processes in the reverse order of their start.
func stopApps(apps []*fx.App) {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	for index := len(apps) - 1; index >= 0; index-- {
		_ = apps[index].Stop(ctx)
	}
}

func demoWorker(index int, address, platform string) configurator.WorkerSettings {
	return configurator.NewWorkerSettings(configurator.WorkerSettingsConfig{
		Name: fmt.Sprintf("worker-%d", index+1), DataCentre: demoDataCentre, Rack: fmt.Sprintf("rack-%d", 1+index/2),
		Listen: address, Advertise: address, PlatformAddress: platform, UsageLag: time.Second,
		Capacity: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 16000, MemoryMB: 64000, Slots: 8}),
	})
}

func demoEntry(index int, hosts []string, platform string) configurator.EntrySettings {
	var peers []configurator.PeerSettings
	for peerIndex := range demoHosts {
		if peerIndex != index {
			peers = append(peers, configurator.NewPeerSettings(configurator.PeerSettingsConfig{
				Name: fmt.Sprintf("entry-%d", peerIndex+1), DataCentre: demoDataCentre, Address: hosts[2*peerIndex+1],
			}))
		}
	}
	var tokens []almondcross.Token
	for _, role := range []almondcross.Role{almondcross.RoleOperator, almondcross.RoleReporter, almondcross.RoleCaller} {
		tokens = append(tokens, almondcross.NewToken(almondcross.TokenConfig{
			Name: "demo-" + string(role), Role: role, Secret: demoToken + string(role),
		}))
	}
	return configurator.NewEntrySettings(configurator.EntrySettingsConfig{
		Name: fmt.Sprintf("entry-%d", index+1), DataCentre: demoDataCentre, Region: "demo",
		Listen: hosts[2*index], Advertise: hosts[2*index], PeerListen: hosts[2*index+1], PeerAdvertise: hosts[2*index+1],
		Peers: peers, DataCentres: []string{demoDataCentre}, LogAddress: platform, LiveListAddress: platform,
		Tokens: tokens, StopGrace: time.Second, RequestTimeout: 5 * time.Second, MaxRequestTimeout: time.Minute,
		ChangeTimeout: 5 * time.Second, QueryTimeout: 5 * time.Second, LogTimeout: 2 * time.Second,
		WorkerTimeout: time.Second, ClaimHorizon: 24 * time.Hour, AccountInterval: demoAccountInterval,
		Placement: configurator.PlacementPacked, Share: configurator.ShareDominant,
	})
}
