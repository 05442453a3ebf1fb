package config

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// record is a decoded configuration record. Exactly one of the pointers is set,
// unless deleted is true.
type record struct {
	key           Key
	deleted       bool
	organisation  *model.Organisation
	backendServer *model.BackendServer
	requestKind   *model.RequestKind
	limits        *model.Limits
}

// unlimited is the upper bound of a number that has none.
const unlimited = math.MaxInt64

// readRecord decodes a record of any schema version known to this release. The
// record is valid only if there are no findings.
func readRecord(raw json.RawMessage) (record, Findings) {
	var findings Findings
	o := newObject(raw, "", &findings)
	if o.fields == nil {
		return record{}, findings
	}
	version := o.integer("schemaVersion", 1, unlimited)
	recordType := Type(o.nonEmptyString("type"))
	if len(findings) > 0 {
		return record{}, findings
	}
	if version != SchemaVersion1 && version != SchemaVersion2 {
		o.add("schemaVersion", "version %d is not known to this release, which reads %d and %d", version, SchemaVersion1, SchemaVersion2)
		return record{}, findings
	}
	r := readFields(o, recordType, int(version))
	o.addUnknownFields()
	return r, findings
}

// readFields reads the fields other than schemaVersion and type.
func readFields(o *object, recordType Type, version int) record {
	r := record{key: Key{Type: recordType}}
	switch recordType {
	case TypeOrganisation, TypeBackendServer, TypeRequestKind:
		r.key.ID = o.nonEmptyString("id")
	case TypeLimits:
	default:
		o.add("type", "%q is not a known type", recordType)
		o.fields = nil
		return r
	}
	r.deleted = o.boolean("deleted")
	if r.deleted {
		return r
	}
	switch recordType {
	case TypeOrganisation:
		r.organisation = readOrganisation(o, version, r.key.ID)
	case TypeBackendServer:
		r.backendServer = readBackendServer(o, version, r.key.ID)
	case TypeRequestKind:
		r.requestKind = readRequestKind(o, version, r.key.ID)
	case TypeLimits:
		r.limits = readLimits(o, version)
	}
	return r
}

// readOrganisation reads an organisation. Version 1 has no weight.
func readOrganisation(o *object, version int, id string) *model.Organisation {
	org := &model.Organisation{ID: model.OrganisationID(id), Weight: 1}
	for _, item := range o.objects("guarantees") {
		org.Guarantees = append(org.Guarantees, readGuarantee(item, version))
	}
	if version == SchemaVersion1 {
		org.MaxAccelerators = int(o.optionalInteger("maxAccelerators", 0, math.MaxInt32, 0))
		return org
	}
	if _, ok := o.optional("quota"); ok {
		quota := o.object("quota")
		org.MaxAccelerators = int(quota.integer("accelerators", 0, math.MaxInt32))
		quota.addUnknownFields()
	}
	org.Weight = int(o.optionalInteger("weight", 1, maxWeight, 1))
	return org
}

// maxWeight is the largest weight of an organisation.
const maxWeight = 1000

// readGuarantee reads one guarantee. Version 2 nests the shape.
func readGuarantee(o *object, version int) model.Guarantee {
	g := model.Guarantee{AZ: model.AZ(o.nonEmptyString("az"))}
	shape := o
	if version != SchemaVersion1 {
		shape = o.object("shape")
	}
	g.Shape.Tasks = int(shape.integer("tasks", 1, maxTasks))
	g.Shape.Accelerators = int(shape.integer("accelerators", 1, maxAcceleratorsPerTask))
	g.Shape.Adjacency = readAdjacency(shape)
	if shape != o {
		shape.addUnknownFields()
	}
	g.Count = int(o.integer("count", 1, maxGuaranteeCount))
	o.addUnknownFields()
	return g
}

// The bounds on the numbers of a guarantee.
const (
	maxTasks               = 4096
	maxAcceleratorsPerTask = 1024
	maxGuaranteeCount      = 10_000
)

// readAdjacency reads an adjacency level.
func readAdjacency(o *object) model.Adjacency {
	adjacency := model.Adjacency(o.nonEmptyString("adjacency"))
	if adjacency != "" && !adjacency.Valid() {
		o.add(o.path+"adjacency", "must be %s, %s or %s", model.AdjacentServer, model.AdjacentRack, model.AdjacentAny)
	}
	return adjacency
}

// readBackendServer reads a backend server. Version 2 nests location and capacity.
func readBackendServer(o *object, version int, id string) *model.BackendServer {
	server := &model.BackendServer{ID: model.BackendServerID(id), Address: readAddress(o)}
	location, capacity := o, o
	if version != SchemaVersion1 {
		location, capacity = o.object("location"), o.object("capacity")
	}
	server.AZ = model.AZ(location.nonEmptyString("az"))
	server.Region = model.Region(location.nonEmptyString("region"))
	server.Rack = model.RackID(location.nonEmptyString("rack"))
	server.Accelerators = int(capacity.integer("accelerators", 0, maxAcceleratorsPerTask))
	server.Slots = int(capacity.integer("slots", 0, math.MaxInt32))
	server.Connections = int(capacity.integer("connections", 1, math.MaxInt32))
	server.Cores = int(capacity.optionalInteger("cores", 0, math.MaxInt32, 0))
	server.MemoryMB = int(capacity.optionalInteger("memoryMB", 0, math.MaxInt32, 0))
	if location != o {
		location.addUnknownFields()
		capacity.addUnknownFields()
	}
	return server
}

// readAddress reads an IP:port address; host names are not accepted.
func readAddress(o *object) string {
	address := o.nonEmptyString("address")
	if address == "" {
		return ""
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		o.add(o.path+"address", "must be an IP address by number with a port, such as 10.0.0.1:7000")
	}
	return address
}

// readRequestKind reads a request kind. Version 2 calls the class priorityClass.
func readRequestKind(o *object, version int, id string) *model.RequestKind {
	class := "class"
	if version != SchemaVersion1 {
		class = "priorityClass"
	}
	return &model.RequestKind{
		Name:       id,
		Class:      readClass(o, class),
		Deadline:   o.duration("deadline"),
		Idempotent: o.boolean("idempotent"),
	}
}

// readClass reads a priority class by name.
func readClass(o *object, name string) model.Class {
	text := o.nonEmptyString(name)
	class, ok := model.ParseClass(text)
	if text != "" && !ok {
		o.add(o.path+name, "must be %s, %s or %s", model.ClassUrgent, model.ClassNormal, model.ClassBatch)
	}
	return class
}

// readLimits reads the limits. Version 2 groups them.
func readLimits(o *object, version int) *model.Limits {
	if version == SchemaVersion1 {
		return readLimits1(o)
	}
	return readLimits2(o)
}

// readLimits1 reads the limits of schema version 1.
func readLimits1(o *object) *model.Limits {
	limits := &model.Limits{
		QueueRequests:   int(o.integer("queueRequests", 1, math.MaxInt32)),
		QueueBytes:      o.integer("queueBytes", 1, unlimited),
		CrossRegionRate: o.integer("crossRegionRate", 0, unlimited),
		RetryPercent:    int(o.integer("retryPercent", 0, 100)),
	}
	shares := o.object("minSharePercent")
	for class := model.ClassUrgent; class < model.ClassCount; class++ {
		limits.MinSharePercent[class] = int(shares.integer(class.String(), 0, 100))
	}
	shares.addUnknownFields()
	checkShares(o, "minSharePercent", limits)
	return limits
}

// readLimits2 reads the limits of schema version 2.
func readLimits2(o *object) *model.Limits {
	limits := &model.Limits{}
	queue := o.object("queue")
	limits.QueueRequests = int(queue.integer("requests", 1, math.MaxInt32))
	limits.QueueBytes = queue.integer("bytes", 1, unlimited)
	queue.addUnknownFields()
	crossRegion := o.object("crossRegion")
	limits.CrossRegionRate = crossRegion.integer("bytesPerSecond", 0, unlimited)
	crossRegion.addUnknownFields()
	retry := o.object("retry")
	limits.RetryPercent = int(retry.integer("percent", 0, 100))
	retry.addUnknownFields()
	classes := o.object("classes")
	for class := model.ClassUrgent; class < model.ClassCount; class++ {
		settings := classes.object(class.String())
		limits.MinSharePercent[class] = int(settings.integer("minSharePercent", 0, 100))
		settings.addUnknownFields()
	}
	classes.addUnknownFields()
	checkShares(o, "classes", limits)
	return limits
}

// checkShares checks that the minimum shares add up to at most 100 percent.
func checkShares(o *object, field string, limits *model.Limits) {
	total := 0
	for _, share := range limits.MinSharePercent {
		total += share
	}
	if total > 100 {
		o.add(field, "minimum shares add up to %d percent", total)
	}
}

// mustEncode returns the JSON of a struct that can always be encoded.
func mustEncode(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("config: encode %T: %v", value, err)) // cannot happen for such a struct
	}
	return data
}
