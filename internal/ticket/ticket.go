// Package ticket ensures that a request that is not idempotent runs at most once. A
// ticket names the VM incarnation that arbitrates it; the Registry of that incarnation
// decides whether a use of the ticket runs, waits or is answered.
package ticket

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/crc32"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// MaxTTL bounds the lifetime of a ticket.
const MaxTTL = time.Hour

// DefaultTTL is the lifetime of a ticket that was requested without one.
const DefaultTTL = 10 * time.Minute

const (
	formatVersion = 1
	idBytes       = 16
	expiryBytes   = 8
	checksumBytes = 4
	maxField      = 255 // bytes
)

// ErrMalformed means that a string is not a ticket, so no VM can arbitrate it.
var ErrMalformed = errors.New("malformed ticket")

// Ticket permits one execution of one request. Its arbiter is the VM at Address
// while that VM has the given Incarnation, or the VM that took over from it.
type Ticket struct {
	Address     string // IP:port
	Incarnation model.Incarnation
	ID          string    // 128 random bits, hexadecimal
	Expiry      time.Time // whole milliseconds, on the arbiter's clock
}

// New returns a ticket of the given arbiter. A ttl that is not positive means
// DefaultTTL; one above MaxTTL is reduced to MaxTTL.
func New(address string, incarnation model.Incarnation, ttl time.Duration, now time.Time) Ticket {
	if ttl <= 0 {
		ttl = DefaultTTL
	}
	return Ticket{
		Address:     address,
		Incarnation: incarnation,
		ID:          model.RandomID(),
		Expiry:      now.Add(min(ttl, MaxTTL)).Truncate(time.Millisecond),
	}
}

// String returns the encoded ticket: URL-safe base64 with a checksum.
func (t Ticket) String() string {
	id, _ := hex.DecodeString(t.ID)
	out := []byte{formatVersion}
	out = appendField(out, t.Address)
	out = appendField(out, string(t.Incarnation))
	out = append(out, id...)
	out = binary.BigEndian.AppendUint64(out, uint64(t.Expiry.UnixMilli()))
	out = binary.BigEndian.AppendUint32(out, crc32.ChecksumIEEE(out))
	return base64.RawURLEncoding.EncodeToString(out)
}

func appendField(out []byte, field string) []byte {
	if len(field) > maxField {
		field = field[:maxField]
	}
	out = append(out, byte(len(field)))
	return append(out, field...)
}

// Parse decodes the result of Ticket.String. The error wraps ErrMalformed.
func Parse(s string) (Ticket, error) {
	raw, err := base64.RawURLEncoding.Strict().DecodeString(s)
	if err != nil {
		return Ticket{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(raw) < checksumBytes+1 {
		return Ticket{}, fmt.Errorf("%w: too short, %d bytes", ErrMalformed, len(raw))
	}
	body, sum := raw[:len(raw)-checksumBytes], raw[len(raw)-checksumBytes:]
	if crc32.ChecksumIEEE(body) != binary.BigEndian.Uint32(sum) {
		return Ticket{}, fmt.Errorf("%w: checksum mismatch", ErrMalformed)
	}
	if body[0] != formatVersion {
		return Ticket{}, fmt.Errorf("%w: unsupported format version %d", ErrMalformed, body[0])
	}
	return parseFields(body[1:])
}

func parseFields(body []byte) (Ticket, error) {
	address, body, ok := cutField(body)
	if !ok {
		return Ticket{}, fmt.Errorf("%w: incomplete address field", ErrMalformed)
	}
	incarnation, body, ok := cutField(body)
	if !ok || len(body) != idBytes+expiryBytes {
		return Ticket{}, fmt.Errorf("%w: incomplete incarnation field or wrong length", ErrMalformed)
	}
	return Ticket{
		Address:     address,
		Incarnation: model.Incarnation(incarnation),
		ID:          hex.EncodeToString(body[:idBytes]),
		Expiry:      time.UnixMilli(int64(binary.BigEndian.Uint64(body[idBytes:]))),
	}, nil
}

func cutField(body []byte) (field string, rest []byte, ok bool) {
	if len(body) == 0 || len(body) < 1+int(body[0]) {
		return "", nil, false
	}
	end := 1 + int(body[0])
	return string(body[1:end]), body[end:], true
}
