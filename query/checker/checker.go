package checker

import (
	"strings"
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// maxBody is the largest body of a request in bytes, that of a record in the store. No larger job can be stored.
	maxBody = 262_144
	// startMargin is the validity that a ticket must have left when a run is placed. With less, no run starts.
	startMargin = 300 * time.Millisecond
	// minWorkersPerCall is the minimum number of workers in a call for advice, as far as the pool has them.
	minWorkersPerCall = 6
)

// Check returns what is wrong or hardly intended in a configuration, in the order of the configuration.
func Check(table almondcross.RouteTable) []almondcross.Finding {
	var findings []almondcross.Finding
	switch limit, place := table.BodyLimit(), sectionPlace(almondcross.SectionBodyLimit); {
	case limit <= 0:
		findings = append(findings, newWarning(place, "it is %d or missing; hosts accept bodies of up to %d bytes", limit, maxBody))
	case limit > maxBody:
		findings = append(findings, newWarning(place, "it is %d, above the %d bytes that a record of the store holds", limit, maxBody))
	}
	if len(table.Queues()) == 0 {
		findings = append(findings, newWarning(sectionPlace(almondcross.SectionQueues), "there are none, so all callers get 404"))
	}
	for position, queue := range table.Queues() {
		place := itemPlace(almondcross.SectionQueues, position, queue.Name())
		findings = append(findings, checkMatch(table.Queues()[:position], queue, place)...)
		findings = append(findings, checkPool(table, queue, place)...)
		findings = append(findings, checkObjective(queue, place)...)
	}
	for position, pool := range table.Pools() {
		for earlier := range position {
			if table.Pools()[earlier].Name() == pool.Name() {
				findings = append(findings, newWarning(itemPlace(almondcross.SectionPools, position, pool.Name()),
					"it has the name of pool %d", earlier))
				break
			}
		}
	}
	return append(findings, checkWorkspaces(table)...)
}

// checkMatch returns the reasons for which no request can reach a queue that comes after earlier ones. Among queues with equal
// host names and prefixes, hosts choose the first.
func checkMatch(earlier []almondcross.Queue, queue almondcross.Queue, place almondcross.ConfigurationPlace) []almondcross.Finding {
	var findings []almondcross.Finding
	host := strings.ToLower(queue.Host())
	for position, other := range earlier {
		if strings.ToLower(other.Host()) == host && other.Prefix() == queue.Prefix() {
			findings = append(findings, newError(place, "it can never match: queue %d has the same host and prefix", position))
			break
		}
	}
	for position, other := range earlier {
		if other.Name() == queue.Name() {
			findings = append(findings, newError(place, "it has the name of queue %d, so their jobs and counts cannot be told apart", position))
			break
		}
	}
	if queue.Host() == "" {
		findings = append(findings, newWarning(place, "it has no host, so only requests without a host name match it"))
	}
	if strings.Contains(queue.Host(), ":") {
		findings = append(findings, newError(place, "it can never match: the host %q has a colon, and hosts compare names without a port", queue.Host()))
	}
	if queue.Prefix() != "" && !strings.HasPrefix(queue.Prefix(), "/") {
		findings = append(findings, newError(place, "it can never match: the prefix %q does not begin with a slash", queue.Prefix()))
	}
	return findings
}

func checkPool(table almondcross.RouteTable, queue almondcross.Queue, place almondcross.ConfigurationPlace) []almondcross.Finding {
	pool, found := table.Pool(queue.Pool())
	switch {
	case !found:
		return []almondcross.Finding{newError(place, "the pool %q does not exist", queue.Pool())}
	case pool.Standby():
		return []almondcross.Finding{newWarning(place, "the pool %q is on standby", queue.Pool())}
	default:
		return nil
	}
}

// checkObjective checks the limit of attempts, the latency objective and the advice of a queue.
func checkObjective(queue almondcross.Queue, place almondcross.ConfigurationPlace) []almondcross.Finding {
	var findings []almondcross.Finding
	if queue.MaxAttempts() < 1 {
		findings = append(findings, newWarning(place, "the limit of attempts is %d; a task gets one attempt", queue.MaxAttempts()))
	}
	if queue.Stretch() < 1 {
		findings = append(findings, newWarning(place, "the stretch is %g; below 1, a job whose tasks never wait may be late", queue.Stretch()))
	}
	advice := queue.AdviceSettings()
	if !advice.Required() {
		return findings
	}
	if call := advice.Base() + minWorkersPerCall*advice.PerWorker(); advice.Validity() < call {
		findings = append(findings, newWarning(place, "advice is valid for %s, but a call for %d workers takes %s", advice.Validity(), minWorkersPerCall, call))
	}
	if advice.Validity() <= startMargin {
		findings = append(findings, newWarning(place, "advice is valid for %s, but a start needs more than %s", advice.Validity(), startMargin))
	}
	return findings
}
