package config

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

const recordsVersion1 = `[
{"schemaVersion":1,"type":"organisation","id":"harju","maxAccelerators":64,
 "guarantees":[{"az":"harju-a","tasks":4,"accelerators":8,"adjacency":"rack","count":2}]},
{"schemaVersion":1,"type":"backendServer","id":"b1","address":"10.0.0.1:7000","az":"harju-a","region":"harju",
 "rack":"r1","accelerators":8,"slots":8,"connections":64,"cores":32,"memoryMB":65536},
{"schemaVersion":1,"type":"requestKind","id":"quote","class":"urgent","deadline":"2s","idempotent":true},
{"schemaVersion":1,"type":"limits","queueRequests":1000,"queueBytes":1048576,"crossRegionRate":1000,
 "minSharePercent":{"urgent":20,"normal":20,"batch":10},"retryPercent":10}
]`

const recordsVersion2 = `
{"schemaVersion":2,"type":"organisation","id":"harju","quota":{"accelerators":64},"weight":1,
 "guarantees":[{"az":"harju-a","shape":{"tasks":4,"accelerators":8,"adjacency":"rack"},"count":2}]}
{"schemaVersion":2,"type":"backendServer","id":"b1","address":"10.0.0.1:7000",
 "location":{"az":"harju-a","region":"harju","rack":"r1"},
 "capacity":{"accelerators":8,"slots":8,"connections":64,"cores":32,"memoryMB":65536}}
{"schemaVersion":2,"type":"requestKind","id":"quote","priorityClass":"urgent","deadline":"2s","idempotent":true}
{"schemaVersion":2,"type":"limits","queue":{"requests":1000,"bytes":1048576},"crossRegion":{"bytesPerSecond":1000},
 "retry":{"percent":10},
 "classes":{"urgent":{"minSharePercent":20},"normal":{"minSharePercent":20},"batch":{"minSharePercent":10}}}
`

// parseAll returns the records of a file that must be valid JSON.
func parseAll(t *testing.T, text string) []json.RawMessage {
	t.Helper()
	records, findings := ParseFile("f.json", strings.NewReader(text))
	assert.NilError(t, findings.Err())
	return records
}

// changeEntry returns a configuration entry at the given offset.
func changeEntry(t *testing.T, offset, expected int64, records ...json.RawMessage) journal.LocatedEntry {
	t.Helper()
	body, err := json.Marshal(journal.ConfigChange{ExpectedRevision: expected, Records: records})
	assert.NilError(t, err)
	id := fmt.Sprintf("change-%d", offset)
	return journal.LocatedEntry{Offset: offset, Entry: journal.Entry{ID: id, Kind: journal.KindConfig, Body: body}}
}

// recordJSON returns text with single quotes replaced by double quotes.
func recordJSON(text string) json.RawMessage {
	return json.RawMessage(strings.ReplaceAll(text, "'", `"`))
}

func TestVersionsReadAlike(t *testing.T) {
	one, two := parseAll(t, recordsVersion1), parseAll(t, recordsVersion2)
	assert.NilError(t, Check(nil, one, nil).Err())
	assert.NilError(t, Check(nil, two, nil).Err())
	a, b := NewState(), NewState()
	a.Apply(changeEntry(t, 5, 0, one...))
	b.Apply(changeEntry(t, 5, 0, two...))
	assert.DeepEqual(t, a.Current(), b.Current())
	assert.Equal(t, a.Current().RequestKinds["quote"].Deadline, 2*time.Second)
	assert.Equal(t, a.Current().Limits.MinSharePercent[model.ClassBatch], 10)

	rendered := NewState()
	rendered.Apply(changeEntry(t, 5, 0, Render(a.Current())...))
	assert.DeepEqual(t, rendered.Current(), a.Current())
	assert.Equal(t, len(Diff(a.Current(), two)), 0)
}

func TestFindingsHavePositions(t *testing.T) {
	records := []json.RawMessage{
		recordJSON(`{'schemaVersion':3,'type':'organisation','id':'o'}`),
		recordJSON(`{'schemaVersion':1,'type':'queue','id':'o'}`),
		recordJSON(`{'schemaVersion':2,'type':'backendServer','id':'b','address':'host.example:1','colour':1,
			'location':{'az':'a','region':'r','rack':'k','row':2},'capacity':{'accelerators':-1,'slots':8,'connections':64}}`),
		recordJSON(`{'schemaVersion':2,'type':'organisation','id':'o','guarantees':[{'az':'a','count':1,'shape':{'tasks':0,'accelerators':8,'adjacency':'near'}}]}`),
		recordJSON(`{'schemaVersion':1,'type':'requestKind','id':'k','class':'soon','deadline':2}`),
		recordJSON(`7`),
		recordJSON(`{'schemaVersion':1,'type':'organisation','id':'p','guarantees':[{'az':'a','az':'b','count':1,'tasks':1,'accelerators':1,'adjacency':'any'}]}`),
		recordJSON(`{'schemaVersion':1,'type':'requestKind','id':'gone','deleted':true}`),
		recordJSON(`{'schemaVersion':1,'type':'requestKind','id':'gone','deleted':true}`),
	}
	findings := Check(nil, records, nil)
	var positions []string
	for _, f := range findings {
		positions = append(positions, fmt.Sprintf("%d %s", f.Record, f.Field))
	}
	assert.DeepEqual(t, positions, []string{
		"1 schemaVersion", "2 type", "3 address", "3 capacity.accelerators", "3 location.row", "3 colour",
		"4 guarantees[0].shape.tasks", "4 guarantees[0].shape.adjacency", "5 class", "5 deadline", "6 ",
		"7 guarantees[0].az", "8 deleted", "9 id",
	})
}

func TestParseFileReportsPosition(t *testing.T) {
	_, findings := ParseFile("f.json", strings.NewReader("{}\n{}\n{broken"))
	assert.Equal(t, len(findings), 1)
	assert.Equal(t, findings[0].Record, 3)
	assert.Assert(t, strings.HasPrefix(findings.Error(), "f.json: record 3: "), findings.Error())
}

func TestUnplacedGuaranteesAreReported(t *testing.T) {
	refuse := func([]model.BackendServer, []model.Organisation) []UnplacedGuarantee {
		return []UnplacedGuarantee{{Organisation: "harju", Guarantee: model.Guarantee{AZ: "harju-a", Count: 2}, Fits: 1}}
	}
	findings := Check(nil, parseAll(t, recordsVersion1), refuse)
	assert.Equal(t, len(findings), 1)
	assert.Equal(t, findings[0].Record, 1)
	assert.Equal(t, findings[0].Field, "guarantees[0]")
}

func TestOldReaderKeepsLastGoodState(t *testing.T) {
	s := NewState()
	s.Apply(changeEntry(t, 1, 0, parseAll(t, recordsVersion1)...))
	good := s.Current()

	newer := recordJSON(`{'schemaVersion':3,'type':'organisation','id':'harju','tiers':[]}`)
	kind := recordJSON(`{'schemaVersion':1,'type':'requestKind','id':'match','class':'batch','deadline':'1h'}`)
	d := s.Apply(changeEntry(t, 2, 1, kind, newer))
	assert.Equal(t, d.Verdict, journal.VerdictAccepted)
	assert.Equal(t, s.Current(), good, "a change with an unreadable record was applied in part")
	assert.Assert(t, strings.Contains(s.Stalled(), "organisation/harju"), s.Stalled())

	later := recordJSON(`{'schemaVersion':1,'type':'requestKind','id':'plan','class':'normal','deadline':'1m'}`)
	assert.Equal(t, s.Apply(changeEntry(t, 3, 1, later)).Verdict, journal.VerdictConflict)
	assert.Equal(t, s.Apply(changeEntry(t, 4, 2, later)).Verdict, journal.VerdictAccepted)
	assert.Equal(t, s.Current(), good)

	data, err := s.Encode()
	assert.NilError(t, err)
	assert.NilError(t, s.Restore(data))
	assert.Equal(t, s.Current(), good, "a snapshot with unreadable records replaced the configuration in force")

	readable := recordJSON(`{'schemaVersion':2,'type':'organisation','id':'harju'}`)
	s.Apply(changeEntry(t, 5, 4, readable))
	assert.Equal(t, s.Stalled(), "")
	assert.Equal(t, s.Current().Revision, int64(5))
	assert.Equal(t, len(s.Current().RequestKinds), 3)
}

func TestHistoryAndConflict(t *testing.T) {
	s := NewState()
	kind := recordJSON(`{'schemaVersion':1,'type':'requestKind','id':'plan','class':'normal','deadline':'1m'}`)
	s.Apply(changeEntry(t, 3, 0, kind))
	d := s.Apply(changeEntry(t, 4, 0, kind))
	assert.Equal(t, d.Verdict, journal.VerdictConflict)
	assert.Equal(t, d.Winner, int64(3))
	assert.DeepEqual(t, s.History(1), []journal.Decision{d})
}

func TestDiffNamesFields(t *testing.T) {
	s := NewState()
	s.Apply(changeEntry(t, 1, 0, parseAll(t, recordsVersion1)...))
	changes, findings := DiffRecords(Render(s.Current()), []json.RawMessage{
		recordJSON(`{'schemaVersion':1,'type':'requestKind','id':'quote','class':'normal','deadline':'2s','idempotent':true}`),
		recordJSON(`{'schemaVersion':1,'type':'organisation','id':'harju','deleted':true}`),
	})
	assert.NilError(t, findings.Err())
	assert.Equal(t, len(changes), 2)
	assert.Equal(t, changes[0].Action, ActionRemove)
	assert.DeepEqual(t, changes[1], Change{
		Action: ActionChange, Type: TypeRequestKind, ID: "quote",
		Field: "priorityClass", Old: `"urgent"`, New: `"normal"`,
	})
}

// The records on the operators' page about configuration must pass the checks.
func TestOperatorPageIsValid(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/configuration-records.md")
	assert.NilError(t, err)
	blocks := strings.Split(string(page), "```json\n")[1:]
	assert.Equal(t, len(blocks), 2)
	for _, block := range blocks {
		text, _, _ := strings.Cut(block, "```")
		assert.NilError(t, Check(nil, parseAll(t, text), nil).Err())
	}
}

func TestBoundBelowGuarantees(t *testing.T) {
	organisation := func(bound int) []json.RawMessage {
		return []json.RawMessage{recordJSON(fmt.Sprintf(`{'schemaVersion':2,'type':'organisation','id':'o','quota':{'accelerators':%d},'weight':1,
			'guarantees':[{'az':'a','shape':{'tasks':2,'accelerators':4,'adjacency':'rack'},'count':2},
				{'az':'b','shape':{'tasks':1,'accelerators':8,'adjacency':'any'},'count':1}]}`, bound))}
	}
	findings := Check(nil, organisation(15), nil)
	assert.Equal(t, len(findings), 1)
	assert.Equal(t, findings[0].Field, "maxAccelerators")
	assert.Equal(t, findings[0].Record, 1)
	assert.NilError(t, Check(nil, organisation(16), nil).Err())
	assert.NilError(t, Check(nil, organisation(0), nil).Err())
}
