package encoder

import (
	"cmp"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// HealthShape is the JSON shape of /healthz and /readyz.
type HealthShape struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	Ready      bool   `json:"ready"`
}

// MemberShape is the JSON shape of a member of the view, with the state that it last reported.
type MemberShape struct {
	Name            string             `json:"name"`
	Incarnation     uint64             `json:"incarnation"`
	DataCentre      string             `json:"data_centre"`
	Address         string             `json:"address"`
	Leaving         bool               `json:"leaving"`
	CatalogueOffset almondcross.Offset `json:"catalogue_offset"`
	Free            ResourcesShape     `json:"free"`
	Waiting         int                `json:"waiting"`
	Oldest          Duration           `json:"oldest"`
	Held            int                `json:"held"`
}

// DataCentreShape is the JSON shape of the catalogue progress of a data centre: CatalogueOffset is the
// lowest offset among its members, -1 without any member.
type DataCentreShape struct {
	Name            string             `json:"name"`
	Members         int                `json:"members"`
	CatalogueOffset almondcross.Offset `json:"catalogue_offset"`
}

// TargetShape is the JSON shape of a target whose lease the host holds.
type TargetShape struct {
	Name       string                `json:"name"`
	DataCentre string                `json:"data_centre"`
	Rack       string                `json:"rack"`
	Address    string                `json:"address"`
	State      almondcross.HostState `json:"state"`
	Boot       uint64                `json:"boot"`
	Counter    uint64                `json:"counter"`
	Total      ResourcesShape        `json:"total"`
	Free       ResourcesShape        `json:"free"`
	Running    int                   `json:"running"`
	Leaving    bool                  `json:"leaving"`
	Ejected    bool                  `json:"ejected"`
}

// RingShape is the JSON shape of the state of a ring.
type RingShape struct {
	Name     string `json:"name"`
	Depth    int    `json:"depth"`
	Capacity int    `json:"capacity"`
	Refused  uint64 `json:"refused"`
}

// LostShape is the JSON shape of a member that was removed from the view as lost.
type LostShape struct {
	Name        string    `json:"name"`
	Incarnation uint64    `json:"incarnation"`
	At          time.Time `json:"at"`
}

// StatusShape is the JSON shape of a HostStatus.
type StatusShape struct {
	Host            string             `json:"host"`
	Standing        bool               `json:"standing"`
	Ready           bool               `json:"ready"`
	CatalogueOffset almondcross.Offset `json:"catalogue_offset"`
	LogEnd          almondcross.Offset `json:"log_end"`
	LogDown         bool               `json:"log_down"`
	Members         []MemberShape      `json:"members"`
	Lost            []LostShape        `json:"lost"`
	DataCentres     []DataCentreShape  `json:"data_centres"`
	Targets         []TargetShape      `json:"targets"`
	Rings           []RingShape        `json:"rings"`
}

// NewStatusShape returns the JSON shape of a status. dataCentres are all data centres of the cell, so
// that the result includes those without any member.
func NewStatusShape(status almondcross.HostStatus, dataCentres []string) StatusShape {
	view := status.View()
	shape := StatusShape{
		Host: view.Self().ID().Name(), Standing: status.Standing(), Ready: status.Ready(),
		CatalogueOffset: status.CatalogueOffset(), LogEnd: status.LogEnd(), LogDown: status.LogDown(),
		Members: memberShapes(status), Lost: []LostShape{}, Targets: []TargetShape{}, Rings: []RingShape{},
	}
	for _, loss := range view.Lost() {
		if loss.Member().Incarnation() == 0 {
			// After each start, the host records the loss of its previous incarnation, whose number it does not know.
			continue
		}
		shape.Lost = append(shape.Lost, LostShape{
			Name: loss.Member().Name(), Incarnation: loss.Member().Incarnation(), At: loss.WallTime(),
		})
	}
	slices.SortFunc(shape.Lost, func(a, b LostShape) int { return cmp.Compare(a.Name, b.Name) })
	shape.DataCentres = dataCentreShapes(shape.Members, dataCentres)
	for _, heldTarget := range status.Targets() {
		target := heldTarget.Target()
		shape.Targets = append(shape.Targets, TargetShape{
			Name: target.Name(), DataCentre: target.DataCentre(), Rack: target.Rack(), Address: target.Address(),
			State: target.State(), Boot: heldTarget.Term().Boot(), Counter: heldTarget.Term().Counter(),
			Total: NewResourcesShape(heldTarget.Total()), Free: NewResourcesShape(heldTarget.Free()),
			Running: heldTarget.Running(), Leaving: heldTarget.Leaving(), Ejected: heldTarget.Ejected(),
		})
	}
	slices.SortFunc(shape.Targets, func(a, b TargetShape) int { return cmp.Compare(a.Name, b.Name) })
	for _, ring := range status.Rings() {
		shape.Rings = append(shape.Rings, RingShape{
			Name: ring.Name(), Depth: ring.Depth(), Capacity: ring.Capacity(), Refused: ring.Refused(),
		})
	}
	return shape
}

func memberShapes(status almondcross.HostStatus) []MemberShape {
	view := status.View()
	free := almondcross.Resources{}
	for _, heldTarget := range status.Targets() {
		free = free.Add(heldTarget.Free())
	}
	self := newMemberShape(view.Self())
	self.CatalogueOffset = status.CatalogueOffset()
	self.Free, self.Held = NewResourcesShape(free), len(status.Targets())
	members := []MemberShape{self}
	for _, peer := range view.Peers() {
		summary := peer.Summary()
		member := newMemberShape(peer.Member())
		member.CatalogueOffset = summary.CatalogueOffset()
		member.Free = NewResourcesShape(summary.Free())
		member.Waiting, member.Oldest, member.Held = summary.Waiting(), Duration(summary.Oldest()), summary.Held()
		members = append(members, member)
	}
	slices.SortFunc(members, func(a, b MemberShape) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

func newMemberShape(member almondcross.Member) MemberShape {
	return MemberShape{
		Name: member.ID().Name(), Incarnation: member.ID().Incarnation(), DataCentre: member.DataCentre(),
		Address: member.Address(), Leaving: member.Leaving(),
	}
}

// dataCentreShapes returns the lowest catalogue offset of each data centre, -1 for one without members.
func dataCentreShapes(members []MemberShape, names []string) []DataCentreShape {
	shapes := make([]DataCentreShape, 0, len(names))
	for _, name := range names {
		shape := DataCentreShape{Name: name, CatalogueOffset: -1}
		for _, member := range members {
			if member.DataCentre != name {
				continue
			}
			if shape.Members == 0 || member.CatalogueOffset < shape.CatalogueOffset {
				shape.CatalogueOffset = member.CatalogueOffset
			}
			shape.Members++
		}
		shapes = append(shapes, shape)
	}
	return shapes
}

// Offsets returns the lowest catalogue offset of each data centre, -1 for one without members.
func (statusshape StatusShape) Offsets() []almondcross.DataCentreOffset {
	offsets := make([]almondcross.DataCentreOffset, len(statusshape.DataCentres))
	for index, dataCentre := range statusshape.DataCentres {
		offsets[index] = almondcross.NewDataCentreOffset(almondcross.DataCentreOffsetConfig{
			DataCentre: dataCentre.Name, Members: dataCentre.Members, Offset: dataCentre.CatalogueOffset,
		})
	}
	return offsets
}
