package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"heatherloom/internal/operatorapi"
)

func runStatus(args []string) int {
	c := newOperatorCommand("status", "Shows the state of one entry instance, its peers, upstreams and rollouts.",
		"status -operator http://10.0.0.7:9003",
		"status -operator http://10.0.0.7:9003 -json")
	asJSON := c.flags.Bool("json", false, "print the response as JSON")
	return c.run(args, func(ctx context.Context, newClient func(string) *operatorapi.Client) error {
		status, err := newClient(*c.url).Status(ctx)
		if err != nil {
			return err
		}
		if *asJSON {
			encoder := json.NewEncoder(os.Stdout)
			encoder.SetIndent("", "  ")
			return encoder.Encode(status)
		}
		return printStatus(os.Stdout, status)
	})
}

func printStatus(out io.Writer, s operatorapi.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "instance %s, region %s, failure domain %s: %s\n", s.Instance, s.Region, s.FailureDomain, conditionOf(s))
	fmt.Fprintf(w, "configuration revision %d in force, known to be the latest one %.0f s ago, %d requests in flight\n", s.ConfigRevision, s.ConfigAgeSeconds, s.InFlight)
	fmt.Fprintf(w, "\nROLLOUT\tVERSION\tSTATE\tSTEP\tREASON\n")
	for _, r := range s.Rollouts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d%%\t%s\n", r.Target, r.Version, r.State, r.Step, r.Reason)
	}
	fmt.Fprintf(w, "\nPEER\tREGION\tREVISION\tSTATE\tLAST HEARD\tOPERATOR\n")
	for _, p := range s.Peers {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%.1f s\t%s\n", p.ID, p.Region, p.ConfigRevision, choose(p.Draining, "draining", "live"), p.LastHeardSeconds, p.OperatorURL)
	}
	fmt.Fprintf(w, "\nUPSTREAM\tTARGETS\tSTATE\tIN FLIGHT\n")
	for _, u := range s.Upstreams {
		state := choose(u.Draining, "leaving", choose(u.Down, "down", "up"))
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", u.ID, strings.Join(u.Targets, ","), state, u.InFlight)
	}
	return w.Flush()
}

func conditionOf(s operatorapi.Status) string {
	return choose(s.Draining, "draining", choose(s.Ready, "ready", "not ready"))
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}
