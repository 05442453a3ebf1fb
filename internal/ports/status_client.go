package ports

import (
	"context"
	"net/http"
	"strconv"
	"sync"
)

// HeaderFreeSlots carries BackendStatus.FreeSlots. The free slots are not part of the
// entity tag because they change with every request, while the tasks do not.
const HeaderFreeSlots = "Free-Slots"

// condition makes a read conditional on an entity tag and stores the headers of the
// response. A nil condition does nothing.
type condition struct {
	knownTag    string // entity tag that the caller has; "" for none
	newTag      string // entity tag of the response
	notModified bool
	freeSlots   string
}

func (c *condition) apply(h http.Header) {
	if c != nil && c.knownTag != "" {
		h.Set("If-None-Match", c.knownTag)
	}
}

// checkNotModified stores the headers of the response and reports whether the caller's
// entity is still current.
func (c *condition) checkNotModified(resp *http.Response) bool {
	if c == nil {
		return false
	}
	c.newTag = resp.Header.Get("ETag")
	c.freeSlots = resp.Header.Get(HeaderFreeSlots)
	c.notModified = c.knownTag != "" && resp.StatusCode == http.StatusNotModified
	return c.notModified
}

// statusCache holds the newest status of a backend server and its entity tag.
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

// Status reads the status, or returns the cached one if the backend server confirms that it
// is still current. The tasks of the result are shared and must not be modified.
func (b *backendClient) Status(ctx context.Context) (BackendStatus, error) {
	cached, tag := b.status.get()
	cond := &condition{knownTag: tag}
	c := call{method: http.MethodGet, url: b.base + PathStatus, readOnly: true, condition: cond}
	var fresh BackendStatus
	if err := c.send(ctx, b.control, &fresh); err != nil {
		return BackendStatus{}, err
	}
	if !cond.notModified {
		b.status.put(fresh, cond.newTag)
		return fresh, nil
	}
	if n, err := strconv.Atoi(cond.freeSlots); err == nil {
		cached.FreeSlots = n
	}
	return cached, nil
}
