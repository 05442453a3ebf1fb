// Package boottime reads a monotonic clock that keeps running while the VM is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as an offset from the Unix epoch. The clock is never
// stepped, and a suspend does not stop it. Its times must not be compared with the time of
// day.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: " + err.Error()) // CLOCK_BOOTTIME exists since Linux 2.6.39
	}
	return time.Unix(ts.Unix()).UTC()
}
