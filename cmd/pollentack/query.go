package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"pollentack.example/pollentack/internal/core/result"
	"pollentack.example/pollentack/internal/edge/callerapi"
	"pollentack.example/pollentack/internal/edge/callerclient"
)

type queryCmd struct {
	Front   string        `required:"" help:"Address of a host's front, HOST:PORT."`
	Key     string        `required:"" help:"The caller's key." env:"POLLENTACK_KEY"`
	Service string        `arg:"" help:"Service to ask."`
	Query   string        `arg:"" help:"Query text."`
	Limit   int           `default:"10" help:"Hits wanted."`
	Timeout time.Duration `help:"Longest wait; the service's own deadline if not given."`
	JSON    bool          `help:"Print the answer as JSON."`
}

// Run sends the query and prints the answer; exit code 1 means that the query was refused.
func (cmd *queryCmd) Run() error {
	body := callerapi.QueryRequest{Query: cmd.Query, Limit: cmd.Limit, TimeoutMS: cmd.Timeout.Milliseconds()}
	client, err := callerclient.New()
	if err != nil {
		return err
	}
	defer client.Close()
	answer, raw, err := client.Query(cmd.Front, cmd.Key, cmd.Service, &body)
	if err != nil {
		return err
	}
	if cmd.JSON {
		fmt.Fprintln(os.Stdout, string(raw))
	} else {
		printAnswer(os.Stdout, answer)
	}
	if answer.Code != result.OK {
		return errFailed
	}
	return nil
}

func printAnswer(w io.Writer, a *callerapi.QueryResponse) {
	fmt.Fprintf(w, "result    %s %s\n", a.Code, a.Detail)
	fmt.Fprintf(w, "snapshot  version %d, layout %s\n", a.Version, a.Layout)
	fmt.Fprintf(w, "coverage  %.3f of %d shards, missing %v\n", a.Coverage, a.Shards, a.Missing)
	fmt.Fprintf(w, "attempts  %d in %.1f ms\n", a.Attempts, float64(a.ElapsedUS)/1000)
	for i, h := range a.Hits {
		fmt.Fprintf(w, "%4d  %.4f  %s  %s\n", i+1, h.Score, h.Doc, h.Title)
	}
}
