package almondcross

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timing of the protocols between entry hosts and workers; docs/design.md 3.1 and 3.2 derive it.
const (
	// HolderLease is how long a worker keeps a lease that is not renewed.
	HolderLease = 3 * time.Second
	// RenewInterval is the time between two renewals of a lease.
	RenewInterval = time.Second
	// TaskLease is how long a worker continues to run a task that no renewal includes.
	TaskLease = 8 * time.Second
	// LostAfter is the time after the last answered renewal from which a task has certainly
	// stopped: a late renewal arrives within HolderLease and extends the task by TaskLease,
	// and 10% are added for clock drift.
	LostAfter = 12500 * time.Millisecond
	// PingInterval is the time between two pings to a peer of the same data centre.
	PingInterval = 250 * time.Millisecond
	// RemotePingInterval is the time between two pings to a peer of another data centre.
	RemotePingInterval = 2 * time.Second
	// LinkLease is how long an answered ping is valid, counted from the time at which it was sent.
	LinkLease = 1800 * time.Millisecond
	// SilenceLimit is the time after which a silent peer of the same data centre leaves the view.
	// It is longer than LinkLease, so that the peer has stopped starting work by then.
	SilenceLimit = 2 * time.Second
	// StartWait is the time for which a new incarnation receives the pings of others before it takes part.
	// It is longer than SilenceLimit by two ping intervals, so that a host that was paused for almost
	// SilenceLimit, and may still have valid link leases, has sent a ping by then.
	StartWait = SilenceLimit + 2*PingInterval
	// RemoteSilenceLimit is the time after which a silent peer of another data centre leaves the view.
	RemoteSilenceLimit = 3 * RemotePingInterval
	// ViewLifetime is how long a view may be used after the registrar's last tick. A host that was
	// paused longer must first learn whether other members took over its keys.
	ViewLifetime = time.Second
	// PauseLimit is the gap between two ticks from which the registrar assumes that the host was paused.
	PauseLimit = 500 * time.Millisecond
	// LongPauseLimit is the gap from which a paused host takes a new incarnation before it acts on any
	// message. It is shorter than SilenceLimit, after which others may have taken over its keys.
	LongPauseLimit = 1500 * time.Millisecond
	// HoldBack is the time after a loss from which no task of the lost member still runs. It is
	// LostAfter plus the maximum delay between the changes of two members' views.
	HoldBack = 13 * time.Second
	// CallerClockSkew is the allowed difference between a caller's clock and the host's clock.
	CallerClockSkew = time.Second
)

// Member returns the member with the given name, which may be the host itself, and reports whether it exists.
func (view View) Member(name string) (Member, bool) {
	if name == view.self.id.name {
		return view.self, true
	}
	peer, ok := view.peers[name]
	return peer.member, ok
}

// Contains reports whether exactly this incarnation of a member is in the view.
func (view View) Contains(id MemberID) bool {
	member, ok := view.Member(id.name)
	return ok && member.id == id
}

// Coordinator returns the member that coordinates a key; it reports false when no member of
// the key's home data centre is in the view.
func (view View) Coordinator(key Key) (Member, bool) {
	return view.choose(key.origin, hashStrings(key.caller, key.name), "")
}

// PreferredHolder returns the member of the view that should hold the lease of a target; it reports false
// when no member of the target's data centre is in the view.
func (view View) PreferredHolder(target Target) (Member, bool) {
	return view.choose(target.dataCentre, hashStrings(target.name, ""), "")
}

// WasCoordinator reports whether a member that is no longer in the view was the coordinator of a key.
func (view View) WasCoordinator(lost MemberID, key Key) bool {
	if lost.name == view.self.id.name {
		return true
	}
	member, ok := view.choose(key.origin, hashStrings(key.caller, key.name), lost.name)
	return ok && member.id.name == lost.name
}

// IssuedSinceMove reports whether no member other than the key's present coordinator can have started the key,
// because the key was issued after every join and after every loss that changed its coordinator.
func (view View) IssuedSinceMove(key Key, issuedAt time.Time) bool {
	if issuedAt.IsZero() || issuedAt.Before(view.joinedWall.Add(CallerClockSkew)) {
		return false
	}
	for _, loss := range view.lost {
		if issuedAt.Before(loss.wallTime.Add(CallerClockSkew)) && view.WasCoordinator(loss.member, key) {
			return false
		}
	}
	return true
}

// HeldBackUntil returns the time from which no task of a lost member that coordinated the key
// still runs; it is zero when there is no such member.
func (view View) HeldBackUntil(key Key, issuedAt time.Time) time.Time {
	joined := issuedAt.IsZero() || issuedAt.Before(view.joinedWall.Add(CallerClockSkew))
	var until time.Time
	for _, loss := range view.lost {
		if !issuedAt.IsZero() && !issuedAt.Before(loss.wallTime.Add(CallerClockSkew)) {
			continue
		}
		// After a join the former coordinator of a key cannot be derived from the view, so every loss counts.
		if !joined && !view.WasCoordinator(loss.member, key) {
			continue
		}
		if end := loss.at.Add(HoldBack); end.After(until) {
			until = end
		}
	}
	return until
}

// choose returns the member of the data centre with the highest rendezvous weight. A non-empty candidate takes
// part as if a member of that name were in the view.
func (view View) choose(dataCentre string, seed uint64, candidate string) (Member, bool) {
	var best Member
	var bestWeight uint64
	found := false
	consider := func(member Member) {
		if member.dataCentre != dataCentre || member.leaving {
			return
		}
		weight := rendezvousWeight(seed, member.id.name)
		if !found || weight > bestWeight || (weight == bestWeight && member.id.name < best.id.name) {
			best, bestWeight, found = member, weight, true
		}
	}
	consider(view.self)
	for _, peer := range view.peers {
		consider(peer.member)
	}
	if candidate != "" {
		consider(Member{id: MemberID{name: candidate}, dataCentre: dataCentre})
	}
	return best, found
}

// HasLinkLeases reports whether the host may act as a coordinator: its view is current and every peer of the data
// centre has granted it a link lease that is still valid.
func (view View) HasLinkLeases(now time.Time) bool {
	if now.Before(view.readyAt) || !now.Before(view.validUntil) {
		return false
	}
	for _, peer := range view.peers {
		if peer.member.dataCentre == view.self.dataCentre && !now.Before(peer.leaseUntil) {
			return false
		}
	}
	return true
}

// HasLease reports whether the link lease from this incarnation of a member is valid.
func (view View) HasLease(id MemberID, now time.Time) bool {
	if id == view.self.id {
		return view.HasLinkLeases(now)
	}
	peer, ok := view.peers[id.name]
	return ok && peer.member.id == id && now.Before(peer.leaseUntil)
}

func hashStrings(first, second string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(first)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(second)
	return digest.Sum64()
}

// rendezvousWeight mixes a seed with a member name. The finaliser of MurmurHash3 mixes the bits, so that
// the order of members differs between seeds.
func rendezvousWeight(seed uint64, name string) uint64 {
	value := seed ^ xxhash.Sum64String(name)
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}
