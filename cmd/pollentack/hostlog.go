package main

import (
	"io"
	"time"

	"pollentack.example/pollentack/internal/duty"
	"pollentack.example/pollentack/internal/edge/logs"
)

const (
	// logQueueLines is the number of log lines buffered for the log's reader; further lines are
	// dropped.
	logQueueLines = 4096
	// logFlushTimeout is how long a host that ends waits for the reader of its log.
	logFlushTimeout = 500 * time.Millisecond
)

// hostLog is the output of a host's log, written by a duty of its own: a reader of the log that
// is slow or stands still holds up neither the host nor its end.
type hostLog struct {
	*logs.AsyncWriter
	group *duty.Group
}

func startHostLog(out io.Writer) (*hostLog, error) {
	l := &hostLog{AsyncWriter: logs.NewAsyncWriter(out, logQueueLines)}
	var err error
	if l.group, err = duty.NewGroup(1, func(string, error) {}); err != nil {
		return nil, err
	}
	if err = l.group.Start(l.Duty()); err != nil {
		return nil, err
	}
	return l, nil
}

// close writes the queued lines if their reader takes them within logFlushTimeout.
func (l *hostLog) close() {
	if l.Flush(logFlushTimeout) {
		l.group.Stop()
	}
}
