package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
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
	printDuties(w, s.Duties)
	return w.Flush()
}

func printDuties(w io.Writer, duties []operatorapi.Duty) {
	if len(duties) == 0 {
		return
	}
	fmt.Fprintf(w, "\nDUTY\tHOLDER\tHERE\tTOKEN\tLAST CALL\n")
	for _, d := range duties {
		call := "-"
		if d.LastCall != "" {
			call = fmt.Sprintf("%s, %.0f s ago", d.LastCall, d.LastCallSeconds)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", d.Name, cmp.Or(d.Holder, "-"), choose(d.Held, "held", "-"), d.Token, call)
	}
	for _, d := range duties {
		if u := d.Usage; u != nil {
			fmt.Fprintf(w, "\nUSAGE\tLAST WINDOW\tDELAY\tWINDOWS\n%s\t%d\t%.1f s\t%s\n", d.Name, u.LastWindow, u.LastDelaySeconds, outcomesText(u.Windows))
		}
		if len(d.Orders) > 0 {
			fmt.Fprintf(w, "\nSERVICE\tFAILURE DOMAIN\tORDERED\tRUNNING\tREASON\n")
		}
		for _, o := range d.Orders {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", o.Service, o.FailureDomain, o.Ordered, o.Running, o.Reason)
		}
	}
}

// outcomesText lists counts by outcome in the order of the outcomes.
func outcomesText(counts map[string]int64) string {
	var parts []string
	for _, outcome := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[outcome], outcome))
	}
	return strings.Join(parts, ", ")
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
