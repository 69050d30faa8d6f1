package main

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

type versionCmd struct{}

// Run prints the module version, the Go version and the platform.
func (versionCmd) Run() error {
	version := "devel"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	if _, err := fmt.Printf("pollentack %s %s %s/%s\n", version, runtime.Version(), runtime.GOOS, runtime.GOARCH); err != nil {
		return fmt.Errorf("print version: %w", err)
	}
	return nil
}
