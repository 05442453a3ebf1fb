package vm

import (
	"encoding/json"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
)

// checkRecords checks a change, the fit of guarantees included.
func checkRecords(current *config.Current, records []json.RawMessage) config.Findings {
	return config.Check(current, records, fitGuarantees)
}

// fitGuarantees returns the guarantees that the servers cannot hold together.
func fitGuarantees(servers []model.BackendServer, organisations []model.Organisation) []config.UnfitGuarantee {
	var misfits []config.UnfitGuarantee
	for _, u := range placement.UnplacedGuarantees(servers, organisations) {
		misfits = append(misfits, config.UnfitGuarantee(u))
	}
	return misfits
}
