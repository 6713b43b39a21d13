package assembler

import (
	"github.com/juju/errors"

	"github.com/almondcross/almondcross/command/placer"
	"github.com/almondcross/almondcross/configurator"
	"github.com/almondcross/almondcross/policy/admitter"
	"github.com/almondcross/almondcross/policy/estimator"
	"github.com/almondcross/almondcross/policy/packer"
	"github.com/almondcross/almondcross/policy/sharer"
	"github.com/almondcross/almondcross/policy/spreader"
)

// ErrPolicyUnknown is returned for a policy that the settings allow but no package implements.
const ErrPolicyUnknown = errors.ConstError("unknown policy")

// newPolicies returns the policies that the settings select, or ErrPolicyUnknown.
func newPolicies(settings configurator.EntrySettings) (placer.Policies, error) {
	policies := placer.Policies{Estimator: estimator.New(), Admission: admitter.New()}
	switch settings.Placement() {
	case configurator.PlacementPacked:
		policies.Placement = packer.New()
	case configurator.PlacementLeastLoaded:
		policies.Placement = spreader.New(spreader.Config{Policy: packer.New()})
	default:
		return policies, errors.Annotatef(ErrPolicyUnknown, "placement %s", settings.Placement())
	}
	switch settings.Share() {
	case configurator.ShareDominant:
		policies.Share = sharer.New()
	default:
		return policies, errors.Annotatef(ErrPolicyUnknown, "share %s", settings.Share())
	}
	return policies, nil
}
