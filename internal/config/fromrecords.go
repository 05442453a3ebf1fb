package config

import "encoding/json"

// FromRecords returns the configuration that records make up, with no revision.
// Records that cannot be read are left out.
func FromRecords(records []json.RawMessage) *Current {
	c := newCurrent()
	for _, raw := range records {
		if r, findings := readRecord(raw); len(findings) == 0 {
			c.put(r)
		}
	}
	return c
}
