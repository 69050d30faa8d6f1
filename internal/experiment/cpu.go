package experiment

import (
	"runtime"
	"syscall"
	"time"
)

// cpuMeter measures the share of the machine's processor time that this process uses.
type cpuMeter struct {
	start      time.Time
	cpuAtStart time.Duration
}

func startCPUMeter() cpuMeter { return cpuMeter{start: time.Now(), cpuAtStart: processCPUTime()} }

// cpuShare returns the share used since the start: 1 if this process kept all cores busy.
func (m cpuMeter) cpuShare() float64 {
	used := processCPUTime() - m.cpuAtStart
	return used.Seconds() / time.Since(m.start).Seconds() / float64(runtime.NumCPU())
}

// processCPUTime returns the processor time used by the process, or 0 if it cannot be
// read.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
