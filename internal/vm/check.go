package vm

import (
	"encoding/json"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
)

// checkRecords checks the records of a change, and whether all guarantees fit on the
// servers together.
func checkRecords(current *config.Current, records []json.RawMessage) config.Findings {
	return config.Check(current, records, unplaceableGuarantees)
}

// unplaceableGuarantees returns the guarantees that do not fit on the servers together.
func unplaceableGuarantees(servers []model.BackendServer, organisations []model.Organisation) []config.UnplacedGuarantee {
	var unplaceable []config.UnplacedGuarantee
	for _, u := range placement.UnplacedGuarantees(servers, organisations) {
		unplaceable = append(unplaceable, config.UnplacedGuarantee(u))
	}
	return unplaceable
}
