package fleet

import (
	"crypto/sha256"
	"strings"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Queue accepts the jobs submitted to one host and path prefix.
type Queue struct {
	Name     string
	Host     string
	Prefix   string
	Service  string
	Priority int
	Attempts int
	Stretch  float64
	Grace    time.Duration
	// Public queues accept submissions without an API key.
	Public bool
	// Advised queues have a policy that decides which backend servers may run each step.
	Advised bool
}

// Service is a pool of backend servers.
type Service struct {
	Name string
	// EnforcesCapacity is set if the backend servers refuse tasks that exceed their capacity.
	EnforcesCapacity bool
	// Standby is set for a pool that is switched off.
	Standby bool
}

// Organisation is a tenant with its API keys and its guaranteed accelerators.
type Organisation struct {
	ID         model.OrganisationID
	Keys       []string
	Guaranteed int // accelerators
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version       int64
	Queues        []Queue
	Services      map[string]Service
	Organisations map[model.OrganisationID]Organisation
	MaxBody       int64 // bytes
	keys          map[[sha256.Size]byte]model.OrganisationID
}

// NewConfig returns a configuration indexed by service, organisation and API key.
func NewConfig(version int64, queues []Queue, services []Service, organisations []Organisation, maxBody int64) *Config {
	c := &Config{
		Version:       version,
		Queues:        queues,
		Services:      make(map[string]Service, len(services)),
		Organisations: make(map[model.OrganisationID]Organisation, len(organisations)),
		MaxBody:       maxBody,
		keys:          make(map[[sha256.Size]byte]model.OrganisationID),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, o := range organisations {
		c.Organisations[o.ID] = o
		for _, k := range o.Keys {
			c.keys[sha256.Sum256([]byte(k))] = o.ID
		}
	}
	return c
}

// QueueFor returns the queue of a host with the longest prefix that matches path, and the
// rest of the path.
func (c *Config) QueueFor(host, path string) (*Queue, string) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// Owner returns the organisation of an API key. Keys are looked up by digest, so that the
// time of a lookup reveals nothing about them.
func (c *Config) Owner(key string) (model.OrganisationID, bool) {
	id, ok := c.keys[sha256.Sum256([]byte(key))]
	return id, ok
}

// Queue returns a queue by its name.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}
