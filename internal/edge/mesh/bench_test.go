package mesh

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"pollentack.example/pollentack/internal/core/membership"
	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/wire"
)

// BenchmarkCall measures a call with a payload of 2 KiB each way between two meshes in one
// process.
func BenchmarkCall(b *testing.B) {
	start := func(name string) *Mesh {
		m, err := Start(Options{
			Host: name, Zone: "z", Listen: loopbackPort, Log: zerolog.Nop(),
			Incarnation: membership.Incarnation{Started: 1},
			Emit:        func(membership.Event) bool { return true },
		})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(m.Stop)
		return m
	}
	client, server := start("a"), start("b")
	hosts := []release.Host{{Name: "a", Zone: "z", MeshAddress: client.Address()}, {Name: "b", Zone: "z", MeshAddress: server.Address()}}
	server.Handle(wire.CallKind_CALL_KIND_SUBQUERY, func(_ string, payload []byte) []byte { return payload })
	server.SetHosts(hosts, nil)
	client.SetHosts(hosts, nil)
	payload := make([]byte, 2<<10)
	b.ResetTimer()
	for range b.N {
		if _, err := client.Call("b", wire.CallKind_CALL_KIND_SUBQUERY, payload, time.Second); err != nil {
			b.Fatal(err)
		}
	}
}
