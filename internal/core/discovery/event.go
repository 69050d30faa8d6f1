package discovery

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pollentack.example/pollentack/internal/core/catalog"
	"pollentack.example/pollentack/internal/core/decision"
)

// Kind is the kind of a stored item.
type Kind int

// The kinds of items. Items of kind OtherItem are ignored.
const (
	OtherItem Kind = iota
	ConfigItem
	TargetItem
	ZoneItem
)

// Item is a decoded item of the store.
type Item struct {
	Key      string
	Kind     Kind
	Revision uint64
	Deleted  bool
	// Name is the target's instance or the availability zone.
	Name   string
	Config *catalog.Config
	Target *catalog.Target
	// DecodeError says why the item could not be decoded, in which case Config and Target are
	// nil.
	DecodeError string
	// Value is the encoded item, for forwarding to peers. Parts of the stored value that the host
	// does not read may be missing.
	Value []byte
}

// KeyHash returns the hash by which hosts tell each other that an item exists.
func KeyHash(key string) uint64 { return xxhash.Sum64String(key) }

// Event is an input to the Follower.
type Event interface{ event() }

// Start starts the Follower.
type Start struct{}

// Page is one page of the list of all items.
type Page struct {
	Items []Item
	More  bool
	// Revision is the store's revision when the page was read.
	Revision uint64
	// Era is the era of the store's data, 0 if the store did not say.
	Era uint64
}

// Changes is the reply to a watch.
type Changes struct {
	Items    []Item
	Revision uint64
	// Era is the era of the store's data that Revision and the items belong to, 0 if the source
	// did not say.
	Era uint64
	// Stale reports that the peer that replied has lost contact with the store. Otherwise
	// ContactAge is the age of its contact, 0 for the store itself.
	Stale      bool
	ContactAge time.Duration
	// Path lists the hosts through which the peer gets its data, the peer first.
	Path []string
	// KnownSince is the revision since which the peer knows of all deletions, 0 if it did not
	// say. If the watch began before it, Live holds the KeyHash of each item that the peer
	// knows, and HasLive is set.
	KnownSince uint64
	Live       []uint64
	HasLive    bool
}

// Sources lists the hosts to get data from in order of preference. This host's own name
// stands for the store.
type Sources struct{ Hosts []string }

// HistoryGone reports that the store no longer has the history that a watch asked for.
type HistoryGone struct {
	// Era is the era of the store's data, 0 if the store did not say.
	Era uint64
}

// CallFailed reports that a call failed.
type CallFailed struct {
	Reason string
	// Unusable states that the store answered, with a reply that cannot be used.
	Unusable bool
}

func (*Start) event()       {}
func (*Page) event()        {}
func (*Changes) event()     {}
func (*HistoryGone) event() {}
func (*CallFailed) event()  {}
func (*Sources) event()     {}

// Call is a call to make to the store, or to a peer that follows it.
type Call struct {
	// Peer is the host to call, "" for the store. Peers support only watches.
	Peer string
	// Watch selects a watch instead of a list.
	Watch bool
	// AfterKey is the key after which a page of the list starts.
	AfterKey string
	// Era, AfterRevision and Wait apply to watches: changes after AfterRevision of the era are
	// returned, or none once Wait is over. A peer that knows a later era returns all its items.
	Era           uint64
	AfterRevision uint64
	Wait          time.Duration
	// Timeout is the time after which the call counts as failed.
	Timeout time.Duration
}

// Effects holds the actions that a step asks its caller to carry out.
type Effects struct {
	Call *Call
	// View is the new view, nil if it did not change.
	View    *catalog.View
	Records []decision.Record
	// AppliedItems holds the items applied by this step, for peers that follow this host.
	AppliedItems []Item
	// Progress is set after each call.
	Progress *Progress
}

// Progress describes how up to date this host is, for peers that follow it.
type Progress struct {
	// Era is the era of the store's data that the revisions belong to. The items that come with
	// another era than before are all items of that era.
	Era uint64
	// Revision is the revision of the store up to which this host knows all changes.
	Revision uint64
	// Fresh reports that the last call was answered with data from the store, directly or
	// through peers. ContactAt is when the store gave the last such answer. A call that is still
	// unanswered at FreshUntil counts as one that has failed.
	Fresh      bool
	ContactAt  time.Duration
	FreshUntil time.Duration
	// Path lists the hosts through which the data came, empty for the store itself.
	Path []string
	// KnownSince is the revision since which this host knows of all deletions.
	KnownSince uint64
	// Forgotten is the revision up to which this host no longer keeps deleted items. KnownSince is not
	// below it.
	Forgotten uint64
}

// FreshAt reports whether this host counts as up to date at a time.
func (p *Progress) FreshAt(now time.Duration) bool { return p.Fresh && now < p.FreshUntil }

// Reset empties the effects and keeps their memory for reuse.
func (fx *Effects) Reset() {
	clear(fx.Records)
	clear(fx.AppliedItems)
	*fx = Effects{Records: fx.Records[:0], AppliedItems: fx.AppliedItems[:0]}
}
