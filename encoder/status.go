package encoder

import (
	"cmp"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// HealthJSON is the response body of /healthz and /readyz.
type HealthJSON struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	Ready      bool   `json:"ready"`
}

// MemberJSON is the JSON form of a member of the view, with the state that it last reported.
type MemberJSON struct {
	Name            string             `json:"name"`
	Incarnation     uint64             `json:"incarnation"`
	DataCentre      string             `json:"data_centre"`
	Address         string             `json:"address"`
	Leaving         bool               `json:"leaving"`
	CatalogueOffset almondcross.Offset `json:"catalogue_offset"`
	Free            ResourcesJSON      `json:"free"`
	Waiting         int                `json:"waiting"`
	OldestWait      Duration           `json:"oldest"`
	HeldTargets     int                `json:"held"`
}

// DataCentreJSON is the JSON form of the catalogue progress of a data centre: CatalogueOffset is the
// lowest offset among its members, -1 without any member.
type DataCentreJSON struct {
	Name            string             `json:"name"`
	Members         int                `json:"members"`
	CatalogueOffset almondcross.Offset `json:"catalogue_offset"`
}

// TargetJSON is the JSON form of a target whose lease the host holds.
type TargetJSON struct {
	Name       string                `json:"name"`
	DataCentre string                `json:"data_centre"`
	Rack       string                `json:"rack"`
	Address    string                `json:"address"`
	State      almondcross.HostState `json:"state"`
	Boot       uint64                `json:"boot"`
	Counter    uint64                `json:"counter"`
	Total      ResourcesJSON         `json:"total"` // the capacity of the target
	Free       ResourcesJSON         `json:"free"`
	Running    int                   `json:"running"`
	Leaving    bool                  `json:"leaving"`
	Ejected    bool                  `json:"ejected"`
}

// RingJSON is the JSON form of the state of a ring.
type RingJSON struct {
	Name     string `json:"name"`
	Depth    int    `json:"depth"`
	Capacity int    `json:"capacity"`
	Refused  uint64 `json:"refused"`
}

// LostMemberJSON is the JSON form of a member that was removed from the view as lost.
type LostMemberJSON struct {
	Name        string    `json:"name"`
	Incarnation uint64    `json:"incarnation"`
	At          time.Time `json:"at"`
}

// StatusJSON is the JSON form of a HostStatus.
type StatusJSON struct {
	Host            string             `json:"host"`
	HasLinkLeases   bool               `json:"standing"` // whether the host has the link leases that it needs to coordinate keys
	Ready           bool               `json:"ready"`
	CatalogueOffset almondcross.Offset `json:"catalogue_offset"`
	LogEnd          almondcross.Offset `json:"log_end"`
	LogDown         bool               `json:"log_down"`
	Members         []MemberJSON       `json:"members"`
	Lost            []LostMemberJSON   `json:"lost"`
	DataCentres     []DataCentreJSON   `json:"data_centres"`
	Targets         []TargetJSON       `json:"targets"`
	Rings           []RingJSON         `json:"rings"`
}

// NewStatusJSON returns the JSON form of a status. dataCentres are all data centres of the cell, so
// that the result includes those without any member.
func NewStatusJSON(status almondcross.HostStatus, dataCentres []string) StatusJSON {
	view := status.View()
	encoded := StatusJSON{
		Host: view.Self().ID().Name(), HasLinkLeases: status.HasLinkLeases(), Ready: status.Ready(),
		CatalogueOffset: status.CatalogueOffset(), LogEnd: status.LogEnd(), LogDown: status.LogDown(),
		Members: newMembersJSON(status), Lost: []LostMemberJSON{}, Targets: []TargetJSON{}, Rings: []RingJSON{},
	}
	for _, loss := range view.Lost() {
		if loss.Member().Incarnation() == 0 {
			// After each start, the host records the loss of its previous incarnation, whose number it does not know.
			continue
		}
		encoded.Lost = append(encoded.Lost, LostMemberJSON{
			Name: loss.Member().Name(), Incarnation: loss.Member().Incarnation(), At: loss.WallTime(),
		})
	}
	slices.SortFunc(encoded.Lost, func(a, b LostMemberJSON) int { return cmp.Compare(a.Name, b.Name) })
	encoded.DataCentres = newDataCentresJSON(encoded.Members, dataCentres)
	for _, heldTarget := range status.Targets() {
		target := heldTarget.Target()
		encoded.Targets = append(encoded.Targets, TargetJSON{
			Name: target.Name(), DataCentre: target.DataCentre(), Rack: target.Rack(), Address: target.Address(),
			State: target.State(), Boot: heldTarget.Term().Boot(), Counter: heldTarget.Term().Counter(),
			Total: NewResourcesJSON(heldTarget.Total()), Free: NewResourcesJSON(heldTarget.Free()),
			Running: heldTarget.Running(), Leaving: heldTarget.Leaving(), Ejected: heldTarget.Ejected(),
		})
	}
	slices.SortFunc(encoded.Targets, func(a, b TargetJSON) int { return cmp.Compare(a.Name, b.Name) })
	for _, ring := range status.Rings() {
		encoded.Rings = append(encoded.Rings, RingJSON{
			Name: ring.Name(), Depth: ring.Depth(), Capacity: ring.Capacity(), Refused: ring.Refused(),
		})
	}
	return encoded
}

func newMembersJSON(status almondcross.HostStatus) []MemberJSON {
	view := status.View()
	free := almondcross.Resources{}
	for _, heldTarget := range status.Targets() {
		free = free.Add(heldTarget.Free())
	}
	self := newMemberJSON(view.Self())
	self.CatalogueOffset = status.CatalogueOffset()
	self.Free, self.HeldTargets = NewResourcesJSON(free), len(status.Targets())
	members := []MemberJSON{self}
	for _, peer := range view.Peers() {
		summary := peer.Summary()
		member := newMemberJSON(peer.Member())
		member.CatalogueOffset = summary.CatalogueOffset()
		member.Free = NewResourcesJSON(summary.Free())
		member.Waiting, member.OldestWait, member.HeldTargets = summary.Waiting(), Duration(summary.Oldest()), summary.Held()
		members = append(members, member)
	}
	slices.SortFunc(members, func(a, b MemberJSON) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

func newMemberJSON(member almondcross.Member) MemberJSON {
	return MemberJSON{
		Name: member.ID().Name(), Incarnation: member.ID().Incarnation(), DataCentre: member.DataCentre(),
		Address: member.Address(), Leaving: member.Leaving(),
	}
}

// newDataCentresJSON returns the lowest catalogue offset of each data centre, -1 for one without members.
func newDataCentresJSON(members []MemberJSON, names []string) []DataCentreJSON {
	dataCentres := make([]DataCentreJSON, 0, len(names))
	for _, name := range names {
		dataCentre := DataCentreJSON{Name: name, CatalogueOffset: -1}
		for _, member := range members {
			if member.DataCentre != name {
				continue
			}
			if dataCentre.Members == 0 || member.CatalogueOffset < dataCentre.CatalogueOffset {
				dataCentre.CatalogueOffset = member.CatalogueOffset
			}
			dataCentre.Members++
		}
		dataCentres = append(dataCentres, dataCentre)
	}
	return dataCentres
}

// DataCentreOffsets returns the lowest catalogue offset of each data centre, -1 for one without members.
func (statusjson StatusJSON) DataCentreOffsets() []almondcross.DataCentreOffset {
	offsets := make([]almondcross.DataCentreOffset, len(statusjson.DataCentres))
	for index, dataCentre := range statusjson.DataCentres {
		offsets[index] = almondcross.NewDataCentreOffset(almondcross.DataCentreOffsetConfig{
			DataCentre: dataCentre.Name, Members: dataCentre.Members, Offset: dataCentre.CatalogueOffset,
		})
	}
	return offsets
}
