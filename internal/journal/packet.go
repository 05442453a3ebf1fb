package journal

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// EncodePacket returns the content of a log record that holds entries.
func EncodePacket(entries []Entry) ([]byte, error) {
	data, err := json.Marshal(Packet{Entries: entries})
	if err != nil {
		return nil, fmt.Errorf("encode packet: %w", err)
	}
	return data, nil
}

// DecodePacket decodes the content of a log record. It ignores unknown fields, so
// that an old release can read the packets of a newer one.
func DecodePacket(data []byte) (Packet, error) {
	var p Packet
	if err := json.Unmarshal(data, &p); err != nil {
		return Packet{}, fmt.Errorf("decode packet: %w", err)
	}
	return p, nil
}

// EntriesOf returns the entries of a log record with their positions. A record that
// is not a packet has none, so every reader ignores it. Times are truncated to
// milliseconds, the precision at which peers exchange them.
func EntriesOf(r ports.Record) []LocatedEntry {
	packet, err := DecodePacket(r.Data)
	if err != nil {
		return nil
	}
	stored := r.Time.UTC().Truncate(time.Millisecond)
	located := make([]LocatedEntry, 0, len(packet.Entries))
	for i, e := range packet.Entries {
		located = append(located, LocatedEntry{Offset: r.Offset, Index: i, Time: stored, Entry: e})
	}
	return located
}

// SnapshotOf returns the snapshot that e holds; ok is false for another kind of
// entry and for a body that is not a usable snapshot.
func SnapshotOf(e Entry) (s Snapshot, ok bool) {
	if e.Kind != KindSnapshot {
		return Snapshot{}, false
	}
	if err := json.Unmarshal(e.Body, &s); err != nil {
		return Snapshot{}, false
	}
	return s, s.Offset > 0 && len(s.State) > 0
}

// NewSnapshotEntry returns an entry that holds s. The ID depends only on the
// offset, so that the snapshots of two writers at one offset are duplicates.
func NewSnapshotEntry(s Snapshot) (Entry, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return Entry{}, fmt.Errorf("encode snapshot at offset %d: %w", s.Offset, err)
	}
	return Entry{ID: fmt.Sprintf("snapshot-%d", s.Offset), Kind: KindSnapshot, Body: body}, nil
}
