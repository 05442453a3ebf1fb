package journal

import "time"

// The default options of a publisher.
const (
	DefaultAppendsPerSecond = 50
	DefaultQueueEntries     = 4096
	DefaultQueueBytes       = 16 << 20
	DefaultPacketBytes      = 256 << 10
	DefaultEntryBytes       = 8 << 20
	DefaultAppendTimeout    = 3 * time.Second
	DefaultResendAfter      = 4 * time.Second
	DefaultResendAfterMax   = time.Minute
)

// PublisherOptions sets the bounds of a publisher. A zero field takes its default.
type PublisherOptions struct {
	AppendsPerSecond int           // the limit on appends, copies included
	QueueEntries     int           // the limit on pending entries: queued, being sent or in doubt
	QueueBytes       int           // the limit on the size of pending entries
	PacketBytes      int           // the limit on a packet of more than one entry
	EntryBytes       int           // the limit on one entry
	AppendTimeout    time.Duration // after this time without an answer an append is in doubt
	ResendAfter      time.Duration // the delay before the first copy of an entry in doubt; it doubles for each further one
	ResendAfterMax   time.Duration // the limit on that delay
}

// withDefaults returns o with defaults in place of zero fields.
func (o PublisherOptions) withDefaults() PublisherOptions {
	setDefault(&o.AppendsPerSecond, DefaultAppendsPerSecond)
	setDefault(&o.QueueEntries, DefaultQueueEntries)
	setDefault(&o.QueueBytes, DefaultQueueBytes)
	setDefault(&o.PacketBytes, DefaultPacketBytes)
	setDefault(&o.EntryBytes, DefaultEntryBytes)
	setDefault(&o.AppendTimeout, DefaultAppendTimeout)
	setDefault(&o.ResendAfter, DefaultResendAfter)
	setDefault(&o.ResendAfterMax, DefaultResendAfterMax)
	return o
}

// setDefault sets *field to value when it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
