package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"heatherloom/internal/drain"
	"heatherloom/internal/operatorapi"
)

// drainPollInterval is the time between two requests for the progress.
const drainPollInterval = 200 * time.Millisecond

func runDrain(args []string) int {
	c := newOperatorCommand("drain", "Takes an entry instance out of service without interrupting a request, and shows the progress until it is done.",
		"drain -operator http://10.0.0.7:9003")
	return c.run(args, func(ctx context.Context, newClient func(string) *operatorapi.Client) error {
		client := newClient(*c.url)
		progress, err := client.StartDrain(ctx)
		if err != nil {
			return err
		}
		return followDrain(ctx, os.Stdout, client, progress)
	})
}

// followDrain prints each change of the progress until the drain is complete. It
// returns an error if the instance stops responding earlier, even with no requests in
// flight, because its last requests may have been interrupted.
func followDrain(ctx context.Context, out io.Writer, client *operatorapi.Client, progress operatorapi.DrainStatus) error {
	shown := ""
	for {
		if line := drainLine(progress); line != shown {
			fmt.Fprintln(out, line)
			shown = line
		}
		if progress.Phase == string(drain.Drained) {
			return nil
		}
		time.Sleep(drainPollInterval)
		next, err := client.DrainStatus(ctx)
		if err != nil {
			return fmt.Errorf("the instance stopped responding in phase %s with %d requests in flight: %w", progress.Phase, progress.InFlight, err)
		}
		progress = next
	}
}

func drainLine(d operatorapi.DrainStatus) string {
	line := fmt.Sprintf("instance=%s phase=%s in_flight=%d", d.Instance, d.Phase, d.InFlight)
	if d.Phase == string(drain.Announced) {
		line += fmt.Sprintf(" refuses_in=%.0fs", d.RefusesInSeconds)
	}
	return line
}
