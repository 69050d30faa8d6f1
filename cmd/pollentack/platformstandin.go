package main

import (
	"fmt"
	"io"
	"time"

	"pollentack.example/pollentack/platform/platformtest"
)

type platformStandinCmd struct {
	Dir    string        `arg:"" help:"Folder for the settings files of the gateways." type:"existingdir"`
	Hosts  int           `help:"Gateways that get a settings file." default:"3"`
	Zones  int           `help:"Availability zones, each in a region of its own." default:"3"`
	Shards int           `help:"Shards of a query." default:"12"`
	Work   time.Duration `help:"Time that a target works on a request." default:"5ms"`
	Port   int           `help:"First port on loopback that the gateways use." default:"7600"`
	// Behavior is a name that platformtest.ParseBehavior accepts.
	Behavior string `help:"Behavior of the targets of the first shard, such as late-copy or endless-body; an unknown name lists them all." default:"normal"`
}

// Run starts stand-ins for the users' platform, its store and targets, writes the settings
// files of the gateways, and serves until SIGINT or SIGTERM.
func (cmd *platformStandinCmd) Run(stdout io.Writer) error {
	if cmd.Hosts < 1 || cmd.Zones < 2 || cmd.Shards < 1 {
		return asUsageError(fmt.Errorf("need at least 1 host, 2 zones and 1 shard, got %d, %d and %d", cmd.Hosts, cmd.Zones, cmd.Shards))
	}
	behavior, err := platformtest.ParseBehavior(cmd.Behavior)
	if err != nil {
		return asUsageError(err)
	}
	site, err := platformtest.StartSite(cmd.Dir, platformtest.SiteConfig{
		Hosts: cmd.Hosts, Zones: cmd.Zones, Shards: cmd.Shards, ServiceTime: cmd.Work, BasePort: cmd.Port,
	})
	if err != nil {
		return err
	}
	defer site.Close()
	site.SetFirstShardBehavior(behavior)
	fmt.Fprintf(stdout, "store at %s, %d targets; start the gateways:\n", site.Store.Address(), len(site.Targets))
	for _, file := range site.SettingsFiles {
		fmt.Fprintf(stdout, "  pollentack gateway --settings %s\n", file)
	}
	fmt.Fprintf(stdout, "then send a request to one of them:\n  %s\n", site.ExampleCommand())
	<-stopSignals()
	return nil
}
