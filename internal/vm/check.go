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
func fitGuarantees(servers []model.BackendServer, organisations []model.Organisation) []config.UnplacedGuarantee {
	var misfits []config.UnplacedGuarantee
	for _, u := range placement.UnplacedGuarantees(servers, organisations) {
		misfits = append(misfits, config.UnplacedGuarantee(u))
	}
	return misfits
}
