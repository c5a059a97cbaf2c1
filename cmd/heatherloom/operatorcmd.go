package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"heatherloom/internal/operatorapi"
)

const (
	// tokenVariable is the environment variable with the operator token. A flag
	// would show the token in the process list.
	tokenVariable = "HEATHERLOOM_OPERATOR_TOKEN"
	// operatorCallTimeout bounds one call to an operator listener.
	operatorCallTimeout = 5 * time.Second
)

// operatorCommand holds the flags of a command that calls the operator listener.
type operatorCommand struct {
	flags     *flag.FlagSet
	url       *string
	tokenFile *string
	caFile    *string
}

// newOperatorCommand returns the flags of a command. Its help shows the summary and
// the examples, which are command lines without the name of the binary.
func newOperatorCommand(name, summary string, examples ...string) *operatorCommand {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	c := &operatorCommand{
		flags:     flags,
		url:       flags.String("operator", "", "base `URL` of an operator listener (required)"),
		tokenFile: flags.String("token-file", "", "`FILE` with the operator token; default is the variable "+tokenVariable),
		caFile:    flags.String("ca", "", "`FILE` with the certificates of the CA of an https listener"),
	}
	flags.Usage = func() {
		out := flags.Output()
		fmt.Fprintf(out, "usage: heatherloom %s [flags]\n\n%s\n\nflags:\n", name, summary)
		flags.PrintDefaults()
		fmt.Fprintf(out, "\nexamples:\n")
		for _, example := range examples {
			fmt.Fprintf(out, "  heatherloom %s\n", example)
		}
	}
	return c
}

// parse reads the arguments. If done is true, the command ends with status.
func (c *operatorCommand) parse(args []string) (status int, done bool) {
	// Package flag would write the help to stderr, and all of it for each error.
	c.flags.SetOutput(io.Discard)
	switch err := c.flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		c.flags.SetOutput(os.Stdout)
		c.flags.Usage()
		return exitOK, true
	case err != nil:
		fmt.Fprintf(os.Stderr, "heatherloom %s: %v; see -h\n", c.flags.Name(), err)
		return exitUsage, true
	case c.flags.NArg() > 0:
		fmt.Fprintf(os.Stderr, "heatherloom %s: unexpected argument %q\n", c.flags.Name(), c.flags.Arg(0))
		return exitUsage, true
	case *c.url == "":
		fmt.Fprintf(os.Stderr, "heatherloom %s: -operator URL is required; see -h\n", c.flags.Name())
		return exitUsage, true
	}
	return exitOK, false
}

// client returns a function that makes a client for a base URL.
func (c *operatorCommand) client() (func(url string) *operatorapi.Client, error) {
	token, err := c.token()
	if err != nil {
		return nil, err
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	if *c.caFile != "" {
		if transport.TLSClientConfig, err = trusting(*c.caFile); err != nil {
			return nil, err
		}
	}
	client := &http.Client{Transport: transport, Timeout: operatorCallTimeout}
	return func(url string) *operatorapi.Client {
		return &operatorapi.Client{URL: url, Token: token, HTTP: client}
	}, nil
}

func (c *operatorCommand) token() (string, error) {
	if *c.tokenFile == "" {
		return os.Getenv(tokenVariable), nil
	}
	raw, err := os.ReadFile(*c.tokenFile)
	if err != nil {
		return "", err
	}
	return strings.TrimSpace(string(raw)), nil
}

func trusting(caFile string) (*tls.Config, error) {
	raw, err := os.ReadFile(caFile)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, fmt.Errorf("%s holds no PEM certificate", caFile)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

// run parses the arguments, makes the client and runs fn.
func (c *operatorCommand) run(args []string, fn func(ctx context.Context, at func(url string) *operatorapi.Client) error) int {
	if status, done := c.parse(args); done {
		return status
	}
	at, err := c.client()
	if err == nil {
		err = fn(context.Background(), at)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "heatherloom %s: %v\n", c.flags.Name(), err)
		return exitFailure
	}
	return exitOK
}
