package ports

import (
	"context"
	"net/http"
	"strconv"
	"sync"
)

// HeaderFreeSlots carries BackendStatus.FreeSlots, which is no part of the entity
// tag: it changes with every request, the tasks of a busy backend server do not.
const HeaderFreeSlots = "Free-Slots"

// condition makes a read conditional on an entity tag and keeps what the headers of
// the answer say. A nil condition does nothing.
type condition struct {
	tag         string // of the entity that the caller has; "" for none
	newTag      string // of the answer
	notModified bool
	freeSlots   string
}

func (c *condition) apply(h http.Header) {
	if c != nil && c.tag != "" {
		h.Set("If-None-Match", c.tag)
	}
}

// met reads the headers and reports whether the caller's entity is still current.
func (c *condition) met(resp *http.Response) bool {
	if c == nil {
		return false
	}
	c.newTag = resp.Header.Get("ETag")
	c.freeSlots = resp.Header.Get(HeaderFreeSlots)
	c.notModified = c.tag != "" && resp.StatusCode == http.StatusNotModified
	return c.notModified
}

// statusCache keeps the newest status of a backend server and its entity tag.
type statusCache struct {
	mu     sync.Mutex
	tag    string
	status BackendStatus
}

func (s *statusCache) get() (BackendStatus, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status, s.tag
}

func (s *statusCache) put(status BackendStatus, tag string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status, s.tag = status, tag
}

// Status reads the report, or confirms that the last one is still current. The
// tasks of the result are shared and must not be changed.
func (b *backendClient) Status(ctx context.Context) (BackendStatus, error) {
	kept, tag := b.status.get()
	cond := &condition{tag: tag}
	c := call{method: http.MethodGet, url: b.base + PathStatus, harmless: true, condition: cond}
	var fresh BackendStatus
	if err := c.send(ctx, b.control, &fresh); err != nil {
		return BackendStatus{}, err
	}
	if !cond.notModified {
		b.status.put(fresh, cond.newTag)
		return fresh, nil
	}
	if n, err := strconv.Atoi(cond.freeSlots); err == nil {
		kept.FreeSlots = n
	}
	return kept, nil
}
