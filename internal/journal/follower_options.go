package journal

import "time"

// The default options of a follower.
const (
	DefaultReadLimit    = 512
	DefaultLongPoll     = 20 * time.Second
	DefaultReadTimeout  = 2 * time.Second
	DefaultSlowTimeout  = 30 * time.Second
	DefaultPeerInterval = 300 * time.Millisecond
	DefaultWindowBytes  = 32 << 20
	DefaultWindowKept   = 512
)

// FollowerOptions sets the intervals and bounds of a follower. A zero field takes
// its default.
type FollowerOptions struct {
	ReadLimit    int           // the largest number of records in one read
	LongPoll     time.Duration // how long a read at the end of the log waits for records
	ReadTimeout  time.Duration // the platform counts as unreachable when a read takes longer
	SlowTimeout  time.Duration // a read that takes longer is cancelled
	PeerInterval time.Duration // between attempts while the platform does not answer
	WindowBytes  int           // bytes of the records kept to serve peers
	WindowKept   int           // number of newest records kept even if the snapshot covers them
}

// withDefaults returns o with defaults in place of zero fields.
func (o FollowerOptions) withDefaults() FollowerOptions {
	setDefault(&o.ReadLimit, DefaultReadLimit)
	setDefault(&o.LongPoll, DefaultLongPoll)
	setDefault(&o.ReadTimeout, DefaultReadTimeout)
	setDefault(&o.SlowTimeout, DefaultSlowTimeout)
	setDefault(&o.PeerInterval, DefaultPeerInterval)
	setDefault(&o.WindowBytes, DefaultWindowBytes)
	setDefault(&o.WindowKept, DefaultWindowKept)
	return o
}
