package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	appendTime = 4 * time.Millisecond // platform.appendMs
	pageItems  = 500                  // of one answer to /log-newest
	readBytes  = 1 << 20              // maxKb
	kept       = 5                    // appends of a producer whose repeats are answered
)

// store is the platform's log. It is sound: it loses nothing, and its answers are linearizable.
type store struct {
	mu      sync.Mutex
	parts   map[string]*partition
	address string
	server  *http.Server
	// late, if set, decides which appends are carried out after a time only, and not answered.
	late   func(topic, part string) (after time.Duration, isLate bool)
	writes int // appends that arrived while late was set, and those of them that were late
	lost   int
}

type partition struct {
	records   []keyed
	producers map[string]*producer
	changed   chan struct{} // closed by the next append
	appending sync.Mutex    // a partition processes its appends one at a time
}

type keyed struct {
	key   string
	value []byte
}

type producer struct {
	epoch, next int64
	fresh       bool            // the epoch may start at any sequence number
	offsets     map[int64]int64 // of the last appends, by sequence number
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{parts: make(map[string]*partition), address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.handleAppend)
	mux.HandleFunc("GET /log-read", s.handleRead)
	mux.HandleFunc("GET /log-newest", s.handleNewest)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }() // ends when it is closed
	return s, nil
}

func (s *store) part(topic, number string) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := topic + "/" + number
	if s.parts[name] == nil {
		s.parts[name] = &partition{producers: make(map[string]*producer), changed: make(chan struct{})}
	}
	return s.parts[name]
}

// put writes a record of partition 0 as the operator or a backend server does. Without a value it drops the key.
func (s *store) put(topic, key string, value any) {
	var text []byte
	if value != nil {
		text = mustJSON(value)
	}
	s.add(s.part("keyed."+topic, "0"), []keyed{{key, text}})
}

func (s *store) add(p *partition, records []keyed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.records = append(p.records, records...)
	close(p.changed)
	p.changed = make(chan struct{})
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	records, ok := parseRecords(body)
	if err != nil || !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if after, isLate := s.isLate(q.Get("topic"), q.Get("part")); isLate {
		go func() {
			time.Sleep(after)
			s.append(httptest.NewRecorder(), q, records)
		}()
		<-r.Context().Done() // the connection returns nothing further
		panic(http.ErrAbortHandler)
	}
	s.append(w, q, records)
}

// isLate counts an append and decides whether it is late.
func (s *store) isLate(topic, part string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.late == nil {
		return 0, false
	}
	after, isLate := s.late(topic, part)
	s.writes++
	if isLate {
		s.lost++
	}
	return after, isLate
}

// setLate changes which appends are late, and returns how many appends there were since the last change, and how many
// of them were late.
func (s *store) setLate(late func(topic, part string) (time.Duration, bool)) (writes, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writes, lost = s.writes, s.lost
	s.late, s.writes, s.lost = late, 0, 0
	return writes, lost
}

// append carries out an append and answers it.
func (s *store) append(w http.ResponseWriter, q url.Values, records []keyed) {
	p := s.part(q.Get("topic"), q.Get("part"))
	p.appending.Lock()
	defer p.appending.Unlock()
	time.Sleep(appendTime)
	offset := int64(len(p.records))
	if at := q.Get("at"); at != "" && at != strconv.FormatInt(offset, 10) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": offset})
		return
	}
	if name := q.Get("producer"); name != "" && !p.admit(w, name, q.Get("epoch"), q.Get("seq"), offset) {
		return
	}
	if len(records) > 0 {
		s.add(p, records)
	}
	reply(w, http.StatusOK, map[string]any{"offset": offset, "end": len(p.records)})
}

// admit checks the epoch and the sequence number of an append, and answers one that is refused or repeated.
func (p *partition) admit(w http.ResponseWriter, name, epochText, sequenceText string, offset int64) bool {
	epoch, _ := strconv.ParseInt(epochText, 10, 64)
	sequence, _ := strconv.ParseInt(sequenceText, 10, 64)
	known := p.producers[name]
	if known == nil || epoch > known.epoch {
		known = &producer{epoch: epoch, fresh: true, offsets: make(map[int64]int64)}
		p.producers[name] = known
	}
	first, repeated := known.offsets[sequence]
	switch {
	case epoch < known.epoch:
		reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return false
	case repeated:
		reply(w, http.StatusOK, map[string]any{"offset": first, "end": offset})
		return false
	case !known.fresh && sequence != known.next:
		reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": known.next})
		return false
	}
	known.fresh, known.next = false, sequence+1
	known.offsets[sequence] = offset
	delete(known.offsets, sequence-kept)
	return true
}

func parseRecords(body []byte) ([]keyed, bool) {
	var list []keyed
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n == 0 || n > len(body)-4 || n < 1+int(body[4]) {
			return nil, false
		}
		content := body[4 : 4+n]
		end := 1 + int(content[0])
		list = append(list, keyed{string(content[1:end]), content[end:]})
		body = body[4+n:]
	}
	return list, true
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.After(time.Duration(waitMs) * time.Millisecond)
	p := s.part(q.Get("topic"), q.Get("part"))
	for waiting := waitMs > 0; ; {
		s.mu.Lock()
		records, changed := p.records, p.changed
		s.mu.Unlock()
		if from < len(records) || !waiting {
			writeRecords(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-until:
			waiting = false
		}
	}
}

func writeRecords(w http.ResponseWriter, records []keyed, from int) {
	b := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	b = binary.BigEndian.AppendUint64(b, 0)
	for i := from; i < len(records) && len(b) < readBytes; i++ {
		k := records[i]
		b = binary.BigEndian.AppendUint32(b, uint32(1+len(k.key)+len(k.value)))
		b = append(append(append(b, byte(len(k.key))), k.key...), k.value...)
	}
	_, _ = w.Write(b) // an error means that the caller has disconnected
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	p := s.part(q.Get("topic"), q.Get("part"))
	s.mu.Lock()
	records := p.records
	s.mu.Unlock()
	newest := make(map[string]int)
	for i, k := range records {
		newest[k.key] = i
	}
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"` // base64
		Offset int    `json:"offset"`
	}
	items := []item{}
	for key, i := range newest {
		if len(records[i].value) > 0 && key > q.Get("dependsOn") {
			items = append(items, item{key, records[i].value, i})
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	reply(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageItems)], "hasMore": len(items) > pageItems, "end": len(records)})
}

func mustJSON(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain values only
	}
	return text
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(mustJSON(body)) // an error means that the caller has disconnected
}
