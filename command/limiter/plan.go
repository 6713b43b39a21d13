package limiter

import "github.com/almondcross/almondcross"

const (
	// processBytes is the memory in bytes that a scheduler or a standby takes without its clients.
	processBytes = 60 << 20
	// processFraction is the fraction (1/processFraction) of a small memory that is left to the process instead.
	processFraction = 2
	// bodyFraction, connectionFraction, headerFraction and linkBytesFraction are the fractions (1/x) of the remaining memory for
	// bodies, connections, decoded headers and messages of other hosts. The rest is for garbage that is not collected yet.
	bodyFraction       = 6
	connectionFraction = 4
	headerFraction     = 16
	linkBytesFraction  = 16
	// stateFraction is the fraction (1/stateFraction) of the remaining memory for accepted jobs. The memory of the process covers those
	// of ordinary load.
	stateFraction = 3
	// intakeFraction is the fraction (1/intakeFraction) of that for the jobs which all hosts together may store for a scheduler that they
	// do not reach. It comes on top of a full state.
	intakeFraction = 2
	// connectionBytes is the memory in bytes of an open connection: two buffers of 4 KiB, two stacks, and the request.
	connectionBytes = 32 << 10
	// fileDescriptors is the number of descriptors that are left for files.
	fileDescriptors = 200
	// clientFraction is the fraction (1/clientFraction) of the other descriptors for clients. The rest is for calls to
	// workers, four for each, to the store and to the advice service, and for connections that are being refused.
	clientFraction = 2
	// linkFraction and checkFraction are the fractions (1/x) of the connections that are set aside for other hosts, and for
	// metrics and readiness each.
	linkFraction  = 4
	checkFraction = 16
	// The connections of other hosts are at most maxLinks, three times the hosts of the largest cell, and the checks at most
	// maxChecks, since few clients make them. The minima keep a server with few descriptors in service.
	minLinks, maxLinks   = 8, 1024
	minChecks, maxChecks = 4, 64
	minCallers           = 8
)

// Plan derives the limits on clients from the capacity of the host.
func Plan(capacity almondcross.HostCapacity) almondcross.ClientLimits {
	memory := capacity.MemoryBytes()
	spare := memory - min(processBytes, memory/processFraction)
	connections := max(0, capacity.Descriptors()-fileDescriptors) / clientFraction
	links := min(max(connections/linkFraction, minLinks), maxLinks)
	checks := min(max(connections/checkFraction, minChecks), maxChecks)
	callers := min(connections-links-2*checks, int(spare/connectionFraction/connectionBytes))
	return almondcross.NewClientLimits(almondcross.ClientLimitsConfig{
		BodyBytes: spare / bodyFraction, HeaderBytes: spare / headerFraction, LinkBytes: spare / linkBytesFraction,
		StateBytes: spare / stateFraction, IntakeBytes: spare / stateFraction / intakeFraction,
		CallerConnections: max(callers, minCallers), LinkConnections: links, CheckConnections: checks,
	})
}
