package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// record is a stored record of a partition. The key is set in keyed topics only.
type record struct {
	key     string
	content []byte
}

// producerState is what a partition knows of one producer.
type producerState struct {
	epoch, seq int64
	answers    map[int64][2]int64 // offset and end of the last appends, by sequence number
}

// partition is one partition of a topic. No record expires: scripts are shorter than keep_s.
type partition struct {
	records   []record
	producers map[string]*producerState
	changed   chan struct{} // closed by the next append
}

// store is the platform's log. Its answers are linearizable.
type store struct {
	mu    sync.Mutex
	parts map[string]*partition
	// fault, if set, is asked before each call of a VM; it returns a status to refuse with, or 0.
	fault func(vm int, r *http.Request) int
}

const appendTime = 4 * time.Millisecond

func newStore() *store { return &store{parts: make(map[string]*partition)} }

func (s *store) part(topic, number string) *partition {
	name := topic + "/" + number
	p := s.parts[name]
	if p == nil {
		p = &partition{producers: make(map[string]*producerState), changed: make(chan struct{})}
		s.parts[name] = p
	}
	return p
}

// put writes a keyed record as the operator or a worker does. An empty value deletes the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(topic, "0").add([]record{keyed(key, value)})
}

func keyed(key string, value []byte) record {
	content := append([]byte{byte(len(key))}, key...)
	return record{key: key, content: append(content, value...)}
}

func (p *partition) add(records []record) {
	p.records = append(p.records, records...)
	close(p.changed)
	p.changed = make(chan struct{})
}

// handler serves one VM.
func (s *store) handler(vm int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.appendRecords)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.newest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.fault != nil {
			if status := s.fault(vm, r); status != 0 {
				w.WriteHeader(status)
				return
			}
		}
		mux.ServeHTTP(w, r)
	})
}

func parseRecords(topic string, body []byte) ([]record, bool) {
	var list []record
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			return nil, false
		}
		r := record{content: body[4 : 4+n]}
		if len(topic) > 6 && topic[:6] == "keyed." {
			if n == 0 || n < 1+int(r.content[0]) {
				return nil, false
			}
			r.key = string(r.content[1 : 1+int(r.content[0])])
		}
		list = append(list, r)
		body = body[4+n:]
	}
	return list, true
}

func (s *store) appendRecords(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	records, ok := parseRecords(q.Get("topic"), body)
	if err != nil || !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if t := q.Get("topic"); t == "keyed.op" || t == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(q.Get("topic"), q.Get("part"))
	end := int64(len(p.records))
	if at := q.Get("at"); at != "" && at != strconv.FormatInt(end, 10) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	name := q.Get("producer")
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
	seq, _ := strconv.ParseInt(q.Get("seq"), 10, 64)
	if name != "" {
		if known := p.producers[name]; known != nil && epoch <= known.epoch {
			answer, repeated := known.answers[seq]
			switch {
			case epoch < known.epoch:
				reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
				return
			case repeated:
				reply(w, http.StatusOK, map[string]any{"offset": answer[0], "end": answer[1]})
				return
			case seq != known.seq+1:
				reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": known.seq + 1})
				return
			}
		} else {
			p.producers[name] = &producerState{epoch: epoch, answers: make(map[int64][2]int64)}
		}
	}
	if len(records) > 0 {
		p.add(records)
	}
	newEnd := int64(len(p.records))
	if known := p.producers[name]; name != "" {
		known.seq = seq
		known.answers[seq] = [2]int64{end, newEnd}
		delete(known.answers, seq-5)
	}
	reply(w, http.StatusOK, map[string]any{"offset": end, "end": newEnd})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	maxKB, err := strconv.Atoi(q.Get("maxKb"))
	if err != nil {
		maxKB = 1024
	}
	deadline := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		p := s.part(q.Get("topic"), q.Get("part"))
		records, changed := p.records, p.changed
		s.mu.Unlock()
		if from < len(records) {
			writeRead(w, records, from, maxKB<<10)
			return
		}
		select {
		case <-changed:
			continue
		case <-r.Context().Done():
			return
		case <-deadline.C:
		}
		s.mu.Lock()
		records = p.records
		s.mu.Unlock()
		writeRead(w, records, from, maxKB<<10)
		return
	}
}

func writeRead(w http.ResponseWriter, records []record, from, limit int) {
	b := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	b = binary.BigEndian.AppendUint64(b, 0)
	for i := from; i < len(records) && (i == from || len(b)+len(records[i].content) < limit); i++ {
		b = binary.BigEndian.AppendUint32(b, uint32(len(records[i].content)))
		b = append(b, records[i].content...)
	}
	_, _ = w.Write(b) // an error means that the VM has disconnected
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	records := s.part(q.Get("topic"), q.Get("part")).records
	s.mu.Unlock()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	last := make(map[string]int)
	for i, rec := range records {
		last[rec.key] = i
	}
	items := []item{}
	for key, i := range last {
		if value := records[i].content[1+len(key):]; len(value) > 0 && key > q.Get("dependsOn") {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(value), i})
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": len(records)})
}

func reply(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // all bodies are plain maps
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text) // an error means that the caller has disconnected
}
