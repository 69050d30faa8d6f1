package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/edge/callerapi"
	"pollentack.example/pollentack/internal/edge/callerclient"
	"pollentack.example/pollentack/internal/edge/trace"
	"pollentack.example/pollentack/internal/loadgen"
	"pollentack.example/pollentack/internal/standin"
	"pollentack.example/pollentack/internal/testbed"
)

type demoCmd struct {
	Hosts   int    `default:"3" help:"Entry hosts, 1 to 9."`
	Queries int    `default:"200" help:"Queries to send."`
	Seed    uint64 `default:"1" help:"Seed of the run."`
	JSON    bool   `help:"Print the summary as one JSON object and nothing else."`
	Hold    bool   `help:"Keep everything up and print the addresses, until SIGINT."`
}

const (
	maxDemoHosts         = 9
	demoQueriesPerSecond = 100
	demoService          = "licences"
)

// Run starts a platform, targets and hosts in this process, sends queries at a fixed mean
// rate and prints a report. Exit code 1 means that at least one query was not answered.
func (cmd *demoCmd) Run(stdout io.Writer) error {
	if cmd.Hosts < 1 || cmd.Hosts > maxDemoHosts {
		return asUsageError(fmt.Errorf("--hosts must be between 1 and %d, got %d", maxDemoHosts, cmd.Hosts))
	}
	if cmd.Queries < 1 {
		return asUsageError(fmt.Errorf("--queries must be at least 1, got %d", cmd.Queries))
	}
	spans := tracetest.NewInMemoryExporter()
	bed, err := testbed.Start(demoLayout(cmd.Hosts, cmd.Seed), testbed.Options{Log: zerolog.Nop(), Tracer: trace.NewWithExporter(spans)})
	if err != nil {
		return err
	}
	defer bed.Stop()
	if !cmd.JSON {
		if err := printSampleQuery(bed, spans); err != nil {
			return err
		}
	}
	report, err := loadgen.Run(&loadgen.Config{
		Fronts:           bed.FrontAddresses(),
		Mix:              []loadgen.MixEntry{{Service: demoService, Keys: []string{testbed.CallerKey(0), testbed.CallerKey(1)}, Weight: 1}},
		QueriesPerSecond: demoQueriesPerSecond,
		Queries:          cmd.Queries,
		Seed:             cmd.Seed,
		MaxHits:          10,
	})
	if err != nil {
		return err
	}
	if err := printReport(stdout, report, cmd.JSON); err != nil {
		return err
	}
	if cmd.Hold {
		printAddressesAndWait(bed)
	}
	if report.Answered != report.Queries {
		return errFailed
	}
	return nil
}

func demoLayout(hosts int, seed uint64) testbed.Layout {
	return testbed.Layout{
		Seed:  seed,
		Zones: testbed.ThreeZones(),
		Hosts: hosts,
		Services: []testbed.ServiceLayout{{
			Name:           demoService,
			Shards:         8,
			Replicas:       3,
			MaxConnections: 25,
			Policy:         release.Policy{Deadline: time.Second, MinCoverage: 1, HedgeBudget: 0.05, Criticality: release.Critical},
			Behavior: standin.Behavior{
				Latency:    4 * time.Millisecond,
				Jitter:     2 * time.Millisecond,
				SlowShare:  0.005,
				SlowFactor: 10,
				Slots:      2,
				ColdBudget: 1,
			},
		}},
		Callers:    10,
		CallerRate: 1000,
	}
}

// printSampleQuery sends one query and prints the full answer and the spans recorded for it.
func printSampleQuery(bed *testbed.Testbed, spans *tracetest.InMemoryExporter) error {
	client, err := callerclient.New()
	if err != nil {
		return err
	}
	defer client.Close()
	address := bed.FrontAddresses()[0]
	spans.Reset()
	answer, _, err := client.Query(address, testbed.CallerKey(0), demoService, &callerapi.QueryRequest{Query: "DK 4821", Limit: 5})
	if err != nil {
		return err
	}
	fmt.Printf("query \"DK 4821\" to service %s through %s\n", demoService, address)
	printAnswer(os.Stdout, answer)
	fmt.Println("\nspans")
	printSpans(os.Stdout, spans.GetSpans())
	fmt.Println()
	return nil
}

// printAddressesAndWait prints the addresses of the hosts and a sample curl command, then
// blocks until SIGINT or SIGTERM.
func printAddressesAndWait(bed *testbed.Testbed) {
	for _, n := range bed.Nodes {
		fmt.Printf("front http://%s  operators http://%s\n", n.FrontAddress(), n.AdminAddress())
	}
	fmt.Printf("curl -H 'Authorization: Bearer %s' -d '{\"query\":\"DK 4821\"}' http://%s/v1/services/%s/query\n",
		testbed.CallerKey(0), bed.FrontAddresses()[0], demoService)
	<-stopSignals()
}
