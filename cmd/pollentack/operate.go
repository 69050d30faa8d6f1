package main

import (
	"fmt"
	"os"

	"pollentack.example/pollentack/internal/edge/admin"
	"pollentack.example/pollentack/internal/edge/callerclient"
	"pollentack.example/pollentack/internal/note"
	"pollentack.example/pollentack/internal/standin"
)

type drainCmd struct {
	Admin string `arg:"" help:"Operator address of the host, HOST:PORT."`
}

// Run requests a graceful shutdown of the host, as SIGTERM does.
func (cmd *drainCmd) Run() error {
	client, err := callerclient.New()
	if err != nil {
		return err
	}
	defer client.Close()
	return client.Post(cmd.Admin, admin.PathDrain, nil)
}

type publishCmd struct {
	Platform string `required:"" help:"Address of the stand-in platform, HOST:PORT."`
	File     string `arg:"" help:"Note file (INI)." type:"existingfile"`
}

// Run publishes a note on a stand-in platform without validating it, because the hosts
// reject invalid notes; only a note whose number can't be read is refused here. Notes on a
// real platform are published with the platform's own tool.
func (cmd *publishCmd) Run() error {
	text, err := os.ReadFile(cmd.File)
	if err != nil {
		return fmt.Errorf("read note: %w", err)
	}
	n, err := note.Parse(cmd.File, text)
	if n == nil || n.Number == 0 {
		return asUsageError(err)
	}
	client, err := callerclient.New()
	if err != nil {
		return err
	}
	defer client.Close()
	path := fmt.Sprintf("%s?number=%d&baseline=%t", standin.PathPublish, n.Number, n.Baseline)
	return client.Post(cmd.Platform, path, text)
}
