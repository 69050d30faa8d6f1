package target

import (
	"testing"
	"time"
)

func newAdaptiveLimiter(start, ceiling int) *Limiter {
	l := &Limiter{}
	l.Configure(start, ceiling, true)
	return l
}

// observeReplies feeds n replies with one latency to a fully used limit.
func observeReplies(l *Limiter, now *time.Duration, n int, latency time.Duration) {
	for range n {
		*now += latency
		l.Answered(*now, latency, l.Limit())
	}
}

func TestLimitGrowsToCeilingOnlyWhenFullyUsed(t *testing.T) {
	l := newAdaptiveLimiter(1, 8)
	var now time.Duration
	observeReplies(l, &now, 200, 10*time.Millisecond)
	if l.Limit() != 8 {
		t.Errorf("limit %d, want 8", l.Limit())
	}
	idle := newAdaptiveLimiter(2, 8)
	for range 200 {
		now += time.Millisecond
		idle.Answered(now, time.Millisecond, 1)
	}
	if idle.Limit() != 2 {
		t.Errorf("idle limit %d, want 2", idle.Limit())
	}
}

func TestShedsCutLimitDownToOne(t *testing.T) {
	l := newAdaptiveLimiter(8, 8)
	for i := range 100 {
		l.Shed(time.Duration(i) * time.Second)
		if l.Limit() < 1 {
			t.Fatal("limit below 1")
		}
	}
	if l.Limit() != 1 {
		t.Errorf("limit %d after sheds, want 1", l.Limit())
	}
	burst := newAdaptiveLimiter(8, 8)
	for range 8 {
		burst.Shed(time.Second)
	}
	if burst.Limit() != 5 {
		t.Errorf("limit %d after the sheds of one burst, want 5", burst.Limit())
	}
}

func TestLimitFollowsLatencyRelativeToBaseline(t *testing.T) {
	l := newAdaptiveLimiter(8, 8)
	var now time.Duration
	observeReplies(l, &now, 200, 10*time.Millisecond)
	l.Answered(now, 20*10*time.Millisecond, l.Limit())
	if l.Limit() != 8 {
		t.Errorf("limit %d after one straggler, want 8", l.Limit())
	}
	observeReplies(l, &now, 50, 40*time.Millisecond)
	if l.Limit() >= 4 {
		t.Errorf("limit %d at four times the baseline, want below 4", l.Limit())
	}
	observeReplies(l, &now, 400, 10*time.Millisecond)
	if l.Limit() != 8 {
		t.Errorf("limit %d after the latency recovered, want 8", l.Limit())
	}
}

func TestSumOfQuotasStaysUnderConnectionLimit(t *testing.T) {
	for _, connections := range []int{25, 30, 45, 110} {
		total := 9 * Quota(connections, 9)
		if total*quotaShareDenominator > connections*quotaShareNumerator {
			t.Errorf("%d connections: the quotas of nine hosts add up to %d", connections, total)
		}
		if Quota(connections, 9) < 2 {
			t.Errorf("%d connections: quota %d, want at least 2", connections, Quota(connections, 9))
		}
	}
}
