package intake

import "time"

// phase is what a connection does.
type phase int

const (
	// idle is a connection that waits for a request.
	idle phase = iota
	// receiving is one of whose request a part has arrived.
	receiving
	// answering is one whose request is whole.
	answering
	// writing is one to which a large response is written.
	writing
	// closing is one that was refused or told to give way.
	closing
)

// Connection is what a Table knows of a connection.
type Connection struct {
	phase phase
	// served states that a request on it was whole.
	served bool
	// displaced states that it was told to give way to a new connection.
	displaced bool
	// held are the bytes reserved for the request.
	held int
	// received is when the last bytes arrived or were taken, unanswered since when no request was answered.
	received, unanswered time.Duration
}

// Receiving reports whether a part of a request has arrived.
func (c *Connection) Receiving() bool { return c.phase == receiving }

// Closing reports whether the connection was refused or told to give way.
func (c *Connection) Closing() bool { return c.phase == closing }

// Table has the connections of a listener and decides which one gives way.
type Table struct {
	connections map[*Connection]struct{}
	// receiving is the sum of what is held for requests that are not whole, giving that of connections
	// that were told to give way and have not released it.
	receiving, giving int
	// displaced counts the connections that were told to give way to a new one and are still open.
	displaced int
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{connections: map[*Connection]struct{}{}} }

// Open adds a connection.
func (t *Table) Open(now time.Duration) *Connection {
	c := &Connection{received: now, unanswered: now}
	t.connections[c] = struct{}{}
	return c
}

// Close removes a connection, if it has not been.
func (t *Table) Close(c *Connection) {
	t.Hold(c, 0)
	if c.displaced {
		t.displaced--
	}
	delete(t.connections, c)
}

// Len returns the number of connections.
func (t *Table) Len() int { return len(t.connections) }

// set changes the phase and what is held, and keeps the sums.
func (t *Table) set(c *Connection, p phase, held int) {
	if sum := t.sum(c.phase); sum != nil {
		*sum -= c.held
	}
	c.phase, c.held = p, held
	if sum := t.sum(p); sum != nil {
		*sum += held
	}
}

func (t *Table) sum(p phase) *int {
	switch p {
	case receiving:
		return &t.receiving
	case closing:
		return &t.giving
	}
	return nil
}

// Received states that bytes of a request that is not whole have arrived.
func (t *Table) Received(c *Connection, now time.Duration) {
	c.received = now
	if c.phase == idle {
		t.set(c, receiving, c.held)
	}
}

// Hold states how many bytes are reserved for the request.
func (t *Table) Hold(c *Connection, n int) { t.set(c, c.phase, n) }

// Whole states that the request is whole. It returns false if the connection was told to give way.
func (t *Table) Whole(c *Connection) bool {
	if c.phase == closing {
		return false
	}
	c.served = true
	t.set(c, answering, c.held)
	return true
}

// Answered states that the request was answered.
func (t *Table) Answered(c *Connection, now time.Duration) {
	if c.phase == answering || c.phase == writing {
		c.unanswered = now
		t.set(c, idle, c.held)
	}
}

// Writing states that a response is written for which, with the request, held bytes are reserved.
func (t *Table) Writing(c *Connection, held int, now time.Duration) {
	c.received = now
	if c.phase == closing {
		t.Hold(c, held)
		return
	}
	t.set(c, writing, held)
}

// Progress states that the caller has taken a part of the response.
func (t *Table) Progress(c *Connection, now time.Duration) { c.received = now }

// ResponseToGiveWay returns the connection whose caller has taken nothing of its response for longest, nil
// if none has for stalledAfter.
func (t *Table) ResponseToGiveWay(now time.Duration) *Connection {
	var victim *Connection
	for c := range t.connections {
		if c.phase == writing && c.stalled(now) && (victim == nil || c.received < victim.received) {
			victim = c
		}
	}
	if victim != nil {
		t.GiveWay(victim)
	}
	return victim
}

// OldestResponse is ResponseToGiveWay for answers that have outgrown the memory, which gives way however
// short its caller has taken nothing of it.
func (t *Table) OldestResponse() *Connection {
	var victim *Connection
	for c := range t.connections {
		if c.phase == writing && (victim == nil || c.received < victim.received) {
			victim = c
		}
	}
	if victim != nil {
		t.GiveWay(victim)
	}
	return victim
}

// GiveWay states that a connection was refused or told to give way.
func (t *Table) GiveWay(c *Connection) { t.set(c, closing, c.held) }

const (
	// stalledAfter is how long a request may be silent before it gives way ahead of larger ones, and how
	// long a connection without a whole request is kept while others wait.
	stalledAfter = time.Second
	// keptIdle is how long a connection that has served is kept without a request while others wait.
	keptIdle = 5 * time.Second
	// Requests that are not whole may hold receivingNumerator/receivingDenominator of the memory.
	receivingNumerator   = 3
	receivingDenominator = 4
)

// Room is what a decision about memory results in.
type Room int

// Results.
const (
	// Granted is room within the share of requests that are not whole.
	Granted Room = iota
	// Awaited is room that another connection was told to give.
	Awaited
	// Denied is none.
	Denied
)

// Grow decides whether a request that is not whole may hold n more bytes of a budget of limit bytes, of
// which the caller has found free ones or not. If another request has to give way first, it is returned.
func (t *Table) Grow(c *Connection, n int, limit int64, free bool, now time.Duration) (Room, *Connection) {
	if c.phase == closing {
		return Denied, nil
	}
	share := limit / receivingDenominator * receivingNumerator
	if free && int64(t.receiving+n) <= share {
		return Granted, nil
	}
	if t.giving > 0 {
		return Awaited, nil
	}
	victim := t.requestToGiveWay(c, n, now)
	if victim == nil {
		return Denied, nil
	}
	t.GiveWay(victim)
	return Awaited, victim
}

// requestToGiveWay returns the request, or the response that its caller does not take, that gives way to the
// growth of another request: the one that has been silent for longest, if that is longer than stalledAfter,
// or else the largest. It returns nil if that is the one that grows.
func (t *Table) requestToGiveWay(grows *Connection, n int, now time.Duration) *Connection {
	var victim *Connection
	for c := range t.connections {
		if c != grows && (c.phase == receiving && c.held > 0 || c.phase == writing && c.stalled(now)) && (victim == nil || c.before(victim, now)) {
			victim = c
		}
	}
	if victim == nil || !victim.stalled(now) && victim.held <= grows.held+n {
		return nil
	}
	return victim
}

func (c *Connection) stalled(now time.Duration) bool { return now-c.received > stalledAfter }

// before reports whether the request of c gives way before that of o.
func (c *Connection) before(o *Connection, now time.Duration) bool {
	switch {
	case c.stalled(now) != o.stalled(now):
		return c.stalled(now)
	case c.stalled(now) || c.held == o.held:
		return c.received < o.received
	}
	return c.held > o.held
}

// Displace decides which connection gives way to a new one: first those that have never served, then
// those in the middle of a request, then those that wait for their next one, and of these the one without
// an answer for longest. It returns nil if none does, or if one that was told before is still open, which
// wait reports.
func (t *Table) Displace(now time.Duration) (victim *Connection, wait bool) {
	if t.displaced > 0 {
		return nil, true
	}
	for c := range t.connections {
		if c.displaceable(now) && (victim == nil || c.rank() < victim.rank() || c.rank() == victim.rank() && c.unanswered < victim.unanswered) {
			victim = c
		}
	}
	if victim == nil {
		return nil, false
	}
	victim.displaced = true
	t.displaced++
	t.GiveWay(victim)
	return victim, true
}

func (c *Connection) displaceable(now time.Duration) bool {
	waited := now - c.unanswered
	switch {
	case c.phase == answering || c.phase == closing:
		return false
	case c.phase == writing:
		return now-c.received > keptIdle
	case c.phase == idle && c.served:
		return waited > keptIdle
	}
	return waited > stalledAfter
}

func (c *Connection) rank() int {
	switch {
	case !c.served:
		return 0
	case c.phase == receiving:
		return 1
	}
	return 2
}
