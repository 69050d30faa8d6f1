package query

// Stage is how far a query may spread.
type Stage int

// Stages. A query of a service without canaries is at StageAll from the start.
const (
	StageNone Stage = iota
	// StageWaiting holds every shard back until the fingerprint's home has answered.
	StageWaiting
	// StageOne and StageFew have sent the first shards only.
	StageOne
	StageFew
	StageAll
)

// Canary is the state of a query whose body is not known to run clean.
type Canary struct {
	Fingerprint uint64
	Stage       Stage
	// Lease is held at Home while it is not zero.
	Lease uint64
	Home  string
	// First is the shard that is sent first; the others follow in turn.
	First int
	// Barred is set once the body was found convicted.
	Barred bool
}
