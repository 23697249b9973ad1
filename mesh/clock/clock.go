package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Clock is the boot-time clock of this host.
type Clock struct{}

// Now returns the time since the host booted, including the time for which it was suspended. Readings of different hosts
// must not be compared.
func (Clock) Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The kernel supports the clock since Linux 2.6.39.
		panic(fmt.Sprintf("clock: read CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(t.Nano())
}
