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
	AppendsPerSecond int           // the budget of appends, copies included
	QueueEntries     int           // pending entries: queued, being sent or in doubt
	QueueBytes       int           // bytes of pending entries
	PacketBytes      int           // the bound on a packet of more than one entry
	EntryBytes       int           // the bound on one entry
	AppendTimeout    time.Duration // an append without an answer is then in doubt
	ResendAfter      time.Duration // delay before a copy of an entry in doubt is sent; it doubles
	ResendAfterMax   time.Duration
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
