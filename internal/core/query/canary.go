package query

// Stage says to how many shards a query may be sent.
type Stage int

// Stages. A query that needs no canary stays at StageNone, which withholds no shard.
const (
	StageNone Stage = iota
	// StageWaiting sends no shard until the fingerprint's home host has granted a lease or
	// reported the body as clean.
	StageWaiting
	// StageOne sends the first shard only.
	StageOne
	// StageFew sends the first shard and a few more.
	StageFew
	// StageAll sends all shards.
	StageAll
)

// Canary is the state of a query whose body is not known to run without a crash.
type Canary struct {
	Fingerprint uint64
	Stage       Stage
	// Lease is the quarantine lease granted by the host Home, 0 if none is held.
	Lease uint64
	Home  string
	// FirstShard is the shard that is sent first. The others follow in ascending order and
	// wrap around.
	FirstShard int
	// Refused is set if the query was refused because its body is convicted.
	Refused bool
}
