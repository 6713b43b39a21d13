package assembler

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/almondcross/almondcross/configurator"
	"github.com/almondcross/almondcross/standin/provider"
	"github.com/almondcross/almondcross/standin/worker"
)

// Platform returns the fx options of the stand-in for the platform.
func Platform(settings configurator.PlatformSettings, logger *logrus.Logger) fx.Option {
	return standIn(logger, func() (NamedDuty, error) {
		platform, err := provider.New(provider.Config{
			Address: settings.Listen(), MaxAge: settings.Retention(), LiveLag: settings.Lag(),
			Metrics: metrics.NewSet(), Logger: logger,
		})
		return NamedDuty{Name: "platform", Duty: platform}, errors.Trace(err)
	})
}

// Worker returns the fx options of the stand-in for a worker.
func Worker(settings configurator.WorkerSettings, logger *logrus.Logger) fx.Option {
	return standIn(logger, func() (NamedDuty, error) {
		worker, err := worker.New(worker.Config{
			Address: settings.Listen(), Name: settings.Name(), DataCentre: settings.DataCentre(), Rack: settings.Rack(),
			Capacity: settings.Capacity(), UsageLag: settings.UsageLag(), LiveList: settings.PlatformAddress(),
			Metrics: metrics.NewSet(), Logger: logger,
		})
		return NamedDuty{Name: "worker", Duty: worker}, errors.Trace(err)
	})
}

func standIn(logger *logrus.Logger, build func() (NamedDuty, error)) fx.Option {
	return fx.Options(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Provide(func() logrus.FieldLogger { return logger }, NewDuties, build),
		fx.Invoke(func(lifecycle fx.Lifecycle, duties *Duties, duty NamedDuty) {
			lifecycle.Append(fx.Hook{
				OnStart: func(context.Context) error {
					duties.Start(duty)
					logger.WithField("role", duty.Name).Info("stand-in started")
					return nil
				},
				OnStop: func(context.Context) error {
					duties.Stop(dutiesTimeout)
					return nil
				},
			})
		}),
	)
}
