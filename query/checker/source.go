package checker

import (
	"bytes"
	"slices"

	"github.com/almondcross/almondcross"
)

// Read decodes a configuration. If hosts would reject it, it returns false and the finding that tells why and where.
func Read(source []byte, decoder almondcross.ConfigurationDecoder) (almondcross.RouteTable, []almondcross.Finding, bool) {
	if len(bytes.TrimSpace(source)) == 0 {
		return almondcross.RouteTable{}, []almondcross.Finding{newError(almondcross.ConfigurationPlace{}, "the file is empty")}, false
	}
	table, err := decoder.DecodeRoutes(source)
	if err == nil {
		return table, nil, true
	}
	place := almondcross.ConfigurationPlace{}
	if offset, known := decoder.ErrorOffset(err); known {
		place = placeOf(source, offset)
	}
	return almondcross.RouteTable{}, []almondcross.Finding{newError(place, "hosts reject the file: %v", err)}, false
}

// placeOf returns the place of the last of a number of bytes.
func placeOf(source []byte, count int64) almondcross.ConfigurationPlace {
	before := source[:min(max(count-1, 0), int64(len(source)))]
	return almondcross.NewConfigurationPlace(almondcross.ConfigurationPlaceConfig{
		Section: almondcross.SectionSource, Line: bytes.Count(before, []byte("\n")) + 1, Column: len(before) - bytes.LastIndexByte(before, '\n'),
	})
}

// Sort returns the findings in the order in which they are shown: by severity, then by place.
func Sort(findings []almondcross.Finding) []almondcross.Finding {
	return slices.SortedStableFunc(slices.Values(findings), compare)
}
