package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/edge/callerapi"
	"pollentack.example/pollentack/internal/edge/callerclient"
)

type ticketCmd struct {
	Front   string `required:"" help:"Address of a host's front, HOST:PORT."`
	Key     string `required:"" help:"The caller's key." env:"POLLENTACK_KEY"`
	Service string `arg:"" help:"Service that the request is for."`
}

// Run prints only the ticket, for use in scripts. Exit code 1 means that the host refused
// to issue one.
func (cmd *ticketCmd) Run() error {
	client, err := callerclient.New()
	if err != nil {
		return err
	}
	defer client.Close()
	answer, err := client.Ticket(cmd.Front, cmd.Key, cmd.Service)
	if err != nil {
		return err
	}
	if answer.Code != result.OK {
		return printOnce(answer)
	}
	fmt.Fprintln(os.Stdout, answer.Ticket)
	return nil
}

type onceCmd struct {
	Front   string        `required:"" help:"Address of a host's front, HOST:PORT."`
	Key     string        `required:"" help:"The caller's key." env:"POLLENTACK_KEY"`
	Ticket  string        `required:"" help:"Ticket from the command ticket; give the same one again to learn the outcome."`
	Service string        `arg:"" help:"Service to run the request."`
	Body    string        `arg:"" help:"Request body."`
	Timeout time.Duration `help:"Longest wait; the service's own deadline if not given."`
}

// Run sends the request and prints the answer; exit code 1 means that the request was
// refused or that its outcome is unknown.
func (cmd *onceCmd) Run() error {
	client, err := callerclient.New()
	if err != nil {
		return err
	}
	defer client.Close()
	body := callerapi.OnceRequest{Ticket: cmd.Ticket, Body: cmd.Body, TimeoutMS: cmd.Timeout.Milliseconds()}
	answer, err := client.Once(cmd.Front, cmd.Key, cmd.Service, &body)
	if err != nil {
		return err
	}
	return printOnce(answer)
}

func printOnce(a *callerapi.OnceResponse) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(a); err != nil {
		return fmt.Errorf("print answer: %w", err)
	}
	if a.Code != result.OK {
		return errFailed
	}
	return nil
}
