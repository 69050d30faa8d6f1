package experiment

import (
	"runtime"
	"syscall"
	"time"
)

// meter measures the share of the machine's processor time that this process uses.
type meter struct {
	begin time.Time
	used  time.Duration
}

func startMeter() meter { return meter{begin: time.Now(), used: processorTime()} }

// share is 1 where all cores were busy with this process.
func (m meter) share() float64 {
	used := processorTime() - m.used
	return used.Seconds() / time.Since(m.begin).Seconds() / float64(runtime.NumCPU())
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
