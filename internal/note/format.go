package note

import (
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"pollentack.example/pollentack/internal/core/release"
)

var opNames = map[release.Op]string{
	release.Add:      "add",
	release.Change:   "change",
	release.Withdraw: "withdraw",
}

var criticalityNames = map[release.Criticality]string{
	release.Sheddable: "sheddable",
	release.Standard:  "standard",
	release.Critical:  "critical",
}

// Format encodes a note. Parse of the result returns an equal note, except for the line
// numbers of the items.
func Format(n *release.Note) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "[note]\nnumber = %d\n", n.Number)
	if n.Baseline {
		b.WriteString("kind = baseline\n")
	} else {
		fmt.Fprintf(&b, "kind = change\nfollows = %d\n", n.Follows)
	}
	for i := range n.Items {
		formatItem(&b, &n.Items[i])
	}
	fmt.Fprintf(&b, "\n[%s]\nitems = %d\n", sectionEnd, len(n.Items))
	return []byte(b.String())
}

func formatItem(b *strings.Builder, item *release.Item) {
	kind, name, write := itemParts(item)
	fmt.Fprintf(b, "\n[%s %s %s]\n", opNames[item.Op], kind, name)
	if item.Op != release.Withdraw {
		write(b)
	}
}

// itemParts returns the kind and name of an item and a function that writes its keys.
func itemParts(item *release.Item) (kind, name string, write func(*strings.Builder)) {
	switch {
	case item.Zone != nil:
		return "availability-zone", item.Zone.Name, func(b *strings.Builder) { formatZone(b, item.Zone) }
	case item.Host != nil:
		return "host", item.Host.Name, func(b *strings.Builder) { formatHost(b, item.Host) }
	case item.Service != nil:
		return "service", item.Service.Name, func(b *strings.Builder) { formatService(b, item.Service) }
	case item.Caller != nil:
		return "caller", item.Caller.Name, func(b *strings.Builder) { formatCaller(b, item.Caller) }
	case item.Target != nil:
		return "target", item.Target.Name, func(b *strings.Builder) { formatTarget(b, item.Target) }
	}
	snap := item.Snapshot
	return "snapshot", fmt.Sprintf("%s %d/%s", snap.Service, snap.Version, snap.Layout), func(b *strings.Builder) { formatSnapshot(b, snap) }
}

func formatZone(b *strings.Builder, z *release.Zone) {
	state := "in"
	if z.OutOfService {
		state = "out"
	}
	fmt.Fprintf(b, "region = %s\nstate = %s\n", z.Region, state)
}

func formatHost(b *strings.Builder, h *release.Host) {
	fmt.Fprintf(b, "availability-zone = %s\nmesh = %s\n", h.Zone, h.MeshAddress)
}

func formatService(b *strings.Builder, svc *release.Service) {
	p := svc.Policy
	answer := "in-time"
	if p.RequireAllShards {
		answer = "whole"
	}
	fmt.Fprintf(b, "deadline = %s\nanswer = %s\nmin-coverage = %s\n", p.Deadline, answer, formatNumber(p.MinCoverage))
	fmt.Fprintf(b, "hedge-budget = %s\ncanary = %t\ncriticality = %s\nonce = %t\n",
		formatNumber(p.HedgeBudget), p.Canary, criticalityNames[p.Criticality], svc.AtMostOnce)
}

func formatCaller(b *strings.Builder, c *release.Caller) {
	services := strings.Join(slices.Sorted(maps.Keys(c.Services)), ", ")
	fmt.Fprintf(b, "key-sha256 = %s\nservices = %s\nrate-per-second = %s\n", hex.EncodeToString(c.KeyHash[:]), services, formatNumber(c.Rate))
}

func formatTarget(b *strings.Builder, t *release.Target) {
	fmt.Fprintf(b, "address = %s\navailability-zone = %s\nservice = %s\n", t.Address, t.Zone, t.Service)
	fmt.Fprintf(b, "slots = %d\nconnections = %d\ncold-budget = %d\nleaving = %t\n", t.Slots, t.MaxConnections, t.MaxColdRequests, t.Leaving)
}

func formatSnapshot(b *strings.Builder, snap *release.Snapshot) {
	fmt.Fprintf(b, "shards = %d\n", len(snap.Shards))
	for i, shard := range snap.Shards {
		fmt.Fprintf(b, "replicas.%d = %s\n", i, strings.Join(shard.Replicas, ", "))
		if shard.Weight != 1 {
			fmt.Fprintf(b, "weight.%d = %s\n", i, formatNumber(shard.Weight))
		}
	}
}

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
