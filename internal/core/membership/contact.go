package membership

import (
	"time"

	"pollentack.example/pollentack/internal/core/clock"
	"pollentack.example/pollentack/internal/core/engine"
)

const (
	// isolationTimeout is the time without confirmed contact after which this host is
	// isolated.
	isolationTimeout = 5 * time.Second
	// platformCheckAfter is the time without confirmed contact after which the platform
	// is called.
	platformCheckAfter = isolationTimeout / 2
	// confirmTimeout is the time that peers have to confirm contact on request before the
	// platform is called.
	confirmTimeout = 250 * time.Millisecond
	// platformCheckInterval is the minimum time between these calls to the platform.
	platformCheckInterval = time.Second
	// maxStepInterval is the maximum time from one step to the next wake-up.
	maxStepInterval = 250 * time.Millisecond
	// pauseThreshold is the time between steps above which the process counts as having
	// been paused.
	pauseThreshold = 500 * time.Millisecond
	// resumeGracePeriod is the time after a pause in which the host is not newly declared
	// isolated, so that peers can answer first.
	resumeGracePeriod = time.Second
)

// contactTracker records the time of the last confirmed contact with the platform or a
// peer.
//
// The arrival of a heartbeat does not confirm contact, because the heartbeat may have
// waited in a buffer while this host was paused. The sequence number that it echoes
// does: the peer received that heartbeat after this host had sent it.
type contactTracker struct {
	lastContact time.Duration
	lastStep    time.Duration
	graceEnd    time.Duration
	isolated    bool

	// confirmSince is the time since which contact is to be confirmed, 0 if none was
	// requested.
	confirmSince      time.Duration
	platformCheckedAt time.Duration

	sentAt         [maxSentTimes]time.Duration
	newestSequence uint64
}

func (c *contactTracker) recordSent(sequence uint64, at time.Duration) {
	c.newestSequence = sequence
	c.sentAt[sequence%maxSentTimes] = at
}

func (c *contactTracker) recordEcho(sequence uint64) {
	if sequence == 0 || sequence > c.newestSequence || c.newestSequence-sequence >= maxSentTimes {
		return
	}
	c.lastContact = max(c.lastContact, c.sentAt[sequence%maxSentTimes])
}

func (c *contactTracker) recordPlatformCall(began time.Duration) {
	c.lastContact = max(c.lastContact, began)
}

// detectPause requests replies from all peers and starts the grace period if the process
// was paused since the last step.
func (m *Membership) detectPause(now clock.Instant) {
	if now.Mono-m.contact.lastStep > pauseThreshold {
		m.contact.graceEnd = now.Mono + resumeGracePeriod
		m.requestReplies()
	}
	m.contact.lastStep = now.Mono
}

func (m *Membership) confirmContact(ev *ConfirmContact) {
	m.contact.confirmSince = max(m.contact.confirmSince, ev.Since, 1)
	m.requestReplies()
}

// requestReplies schedules an expedited heartbeat to every peer that requests an
// immediate reply.
func (m *Membership) requestReplies() {
	for _, p := range m.peers {
		p.expedited = true
		p.requestReply = true
	}
}

// checkContact reports confirmed contact if it was requested, calls the platform when the
// peers do not confirm contact in time, and decides whether this host is isolated.
func (m *Membership) checkContact(now clock.Instant, fx *Effects) {
	c := &m.contact
	if c.confirmSince > 0 && c.lastContact >= c.confirmSince {
		fx.ContactConfirmed = &ContactConfirmed{Since: c.confirmSince}
		c.confirmSince = 0
	}
	sinceContact := now.Mono - c.lastContact
	unconfirmed := c.confirmSince > 0 && (len(m.peers) == 0 || now.Mono-c.confirmSince > confirmTimeout)
	checkPlatform := sinceContact > platformCheckAfter || unconfirmed
	if checkPlatform && now.Mono-c.platformCheckedAt >= platformCheckInterval {
		c.platformCheckedAt = now.Mono
		fx.CallPlatform = true
	}
	isolated := sinceContact > isolationTimeout
	if isolated == c.isolated || (isolated && now.Mono < c.graceEnd) {
		return
	}
	c.isolated = isolated
	fx.Isolation = &engine.Isolation{Isolated: isolated}
}
