package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"heatherloom/internal/operatorapi"
)

const (
	// tokenVariable is the environment variable with the operator token. A flag would
	// expose the token in the process list.
	tokenVariable = "HEATHERLOOM_OPERATOR_TOKEN"
	// operatorCallTimeout bounds one call to an operator listener.
	operatorCallTimeout = 5 * time.Second
)

// operatorAccess holds the flags with which a command authenticates to operator
// listeners.
type operatorAccess struct {
	tokenFile *string
	caFile    *string
}

func addOperatorAccess(flags *flag.FlagSet) operatorAccess {
	return operatorAccess{
		tokenFile: flags.String("token-file", "", "`FILE` with the operator token; default is the variable "+tokenVariable),
		caFile:    flags.String("ca", "", "`FILE` with the certificates of the CA of an https listener"),
	}
}

// clientFactory returns a function that creates a client for a base URL.
func (a operatorAccess) clientFactory() (func(url string) *operatorapi.Client, error) {
	token, err := a.token()
	if err != nil {
		return nil, err
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	if *a.caFile != "" {
		if transport.TLSClientConfig, err = tlsConfig(*a.caFile); err != nil {
			return nil, err
		}
	}
	client := &http.Client{Transport: transport, Timeout: operatorCallTimeout}
	return func(url string) *operatorapi.Client {
		return &operatorapi.Client{URL: url, Token: token, HTTP: client}
	}, nil
}

func (a operatorAccess) token() (string, error) {
	if *a.tokenFile == "" {
		return os.Getenv(tokenVariable), nil
	}
	raw, err := os.ReadFile(*a.tokenFile)
	if err != nil {
		return "", err
	}
	return strings.TrimSpace(string(raw)), nil
}

// tlsConfig returns a client configuration that trusts the CA certificates in the file.
func tlsConfig(caFile string) (*tls.Config, error) {
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

// operatorCommand holds the flags of a command that calls an operator listener.
type operatorCommand struct {
	operatorAccess
	flags *flag.FlagSet
	url   *string
}

// newOperatorCommand returns a command with the flags for operator access; see newFlagSet
// for the parameters.
func newOperatorCommand(name, summary string, examples ...string) *operatorCommand {
	flags := newFlagSet(name, summary, examples...)
	return &operatorCommand{
		operatorAccess: addOperatorAccess(flags),
		flags:          flags,
		url:            flags.String("operator", "", "base `URL` of an operator listener (required)"),
	}
}

// run parses the arguments and calls fn with a function that creates clients.
func (c *operatorCommand) run(args []string, fn func(ctx context.Context, newClient func(url string) *operatorapi.Client) error) int {
	if _, status, done := parseFlags(c.flags, args); done {
		return status
	}
	if *c.url == "" {
		fmt.Fprintf(os.Stderr, "%s: -operator URL is required\nRun '%s -h' for help.\n", commandLine(c.flags.Name()), commandLine(c.flags.Name()))
		return exitUsage
	}
	newClient, err := c.clientFactory()
	if err == nil {
		err = fn(context.Background(), newClient)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", commandLine(c.flags.Name()), err)
		return exitFailure
	}
	return exitOK
}
