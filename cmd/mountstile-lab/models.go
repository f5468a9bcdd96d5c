package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/mountstile/mountstile/internal/lab/modelbench"
)

type modelsCommand struct {
	Engines       int           `long:"engines" default:"8" description:"engines"`
	Slots         int           `long:"slots" default:"2" description:"places of each engine"`
	Rate          float64       `long:"rate" default:"48" description:"calls a second"`
	Favoured      float64       `long:"favoured" default:"0.85" description:"share of the favoured model"`
	Tokens        int           `long:"tokens" default:"60" description:"length of each answer"`
	PhaseDuration time.Duration `long:"half" default:"30s" description:"how long each model is the favoured one"`
	Load          float64       `long:"load-seconds" default:"1" description:"how long one engine alone takes to pull weights"`
	AtOnce        int           `long:"at-once" default:"2" description:"engines that load at one time"`
	Hold          float64       `long:"hold-seconds" default:"5" description:"how long an engine keeps a model at least"`
	Seed          uint64        `long:"seed" default:"1" description:"seed of the arrivals"`
}

// Execute implements flags.Commander.
func (c *modelsCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	report, err := modelbench.Run(ctx, modelbench.Options{
		Engines: c.Engines, Slots: c.Slots, CallsPerSecond: c.Rate, FavouredShare: c.Favoured, Tokens: c.Tokens, PhaseDuration: c.PhaseDuration,
		LoadSeconds: c.Load, AtOnce: c.AtOnce, HoldSeconds: c.Hold, Seed: c.Seed,
		Progress: func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) },
	})
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(report)
}
