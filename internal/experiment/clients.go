package experiment

import (
	"math/rand/v2"
	"sync"

	"pollentack.example/pollentack/internal/duty"
)

// startClients runs n clients concurrently, each with its own random source derived from
// seed. Unless it fails, its caller must call wait, which blocks until all clients have
// returned.
func startClients(n int, seed uint64, client func(rng *rand.Rand, i int)) (wait func(), err error) {
	workers, err := duty.NewWorkers(n, nil)
	if err != nil {
		return nil, err
	}
	var running sync.WaitGroup
	wait = func() {
		running.Wait()
		workers.Close()
	}
	for i := range n {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		running.Add(1)
		err := workers.Submit(func() {
			defer running.Done()
			client(rng, i)
		})
		if err != nil {
			running.Done()
			wait()
			return nil, err
		}
	}
	return wait, nil
}
