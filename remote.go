package almondcross

import (
	"context"

	"github.com/juju/errors"
)

// DataCentreOffsetConfig holds the fields of a new DataCentreOffset.
type DataCentreOffsetConfig struct {
	DataCentre string
	Members    int
	Offset     Offset
}

// DataCentreOffset is the catalogue offset that the members of a data centre have reached.
type DataCentreOffset struct {
	dataCentre string
	members    int
	offset     Offset
}

// NewDataCentreOffset returns a DataCentreOffset with the given fields.
func NewDataCentreOffset(config DataCentreOffsetConfig) DataCentreOffset {
	return DataCentreOffset{dataCentre: config.DataCentre, members: config.Members, offset: config.Offset}
}

// DataCentre returns the name of the data centre.
func (datacentreoffset DataCentreOffset) DataCentre() string { return datacentreoffset.dataCentre }

// Members returns the number of members of the data centre in the view of the queried host.
func (datacentreoffset DataCentreOffset) Members() int { return datacentreoffset.members }

// Offset returns the lowest catalogue offset of these members.
func (datacentreoffset DataCentreOffset) Offset() Offset { return datacentreoffset.offset }

// Reached reports whether the catalogue of every known member of the data centre covers an offset. It is
// false for a data centre without a known member.
func (datacentreoffset DataCentreOffset) Reached(version Offset) bool {
	return datacentreoffset.members > 0 && datacentreoffset.offset >= version
}

// CellViewer reads the state of a cell through the API of an entry host.
type CellViewer interface {
	// Catalogue returns the catalogue of the host.
	Catalogue(ctx context.Context) (Catalogue, error)
	// Offsets returns the catalogue offset that each data centre of the cell has reached.
	Offsets(ctx context.Context) ([]DataCentreOffset, error)
	// DataCentre returns the data centre of the host.
	DataCentre(ctx context.Context) (string, error)
}

// Errors of requests to the API of an entry host.
const (
	ErrAPIUnreachable = errors.ConstError("the entry host cannot be reached")
	ErrAPIRefused     = errors.ConstError("the entry host refused the request")
)
