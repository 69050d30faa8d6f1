// Package once holds the tickets and outcomes of requests that run at most once.
//
// A ticket names one home: a host and its incarnation. Only the process that is that
// incarnation, or the one successor to which it handed the record, may run the request.
// A Table decides for each presented ticket whether to run, to wait for the run in
// progress, to replay the kept outcome or to refuse. Its invariant: a record leaves the
// unused status once, and a request runs only on that change; a ticket without a record
// is never run. Expiry follows the monotonic clock, so that a step of the wall clock
// cannot re-open a ticket. A Table is owned by one duty and has no lock.
package once

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// MACBytes is the size of a ticket's message authentication code.
const MACBytes = sha256.Size

// Ref identifies a ticket over all hosts and incarnations.
type Ref struct {
	Home        string
	Incarnation uint64
	Serial      uint64
}

// Ticket permits one run of one request. Its code also covers the service and the
// caller, which every request names anew.
type Ticket struct {
	Ref
	// Expiry is on the home's wall clock; it informs callers and decides nothing.
	Expiry time.Duration
	MAC    [MACBytes]byte
}

// sign returns the code of a ticket for a service and a caller.
func sign(key []byte, t *Ticket, service, caller string) [MACBytes]byte {
	mac := hmac.New(sha256.New, key)
	var number [8]byte
	for _, field := range []string{t.Home, service, caller} {
		binary.BigEndian.PutUint64(number[:], uint64(len(field)))
		mac.Write(number[:])
		mac.Write([]byte(field))
	}
	for _, n := range []uint64{t.Incarnation, t.Serial, uint64(t.Expiry)} {
		binary.BigEndian.PutUint64(number[:], n)
		mac.Write(number[:])
	}
	return [MACBytes]byte(mac.Sum(nil))
}
