// Package scim reads the platform's client directory with SCIM 2.0 list requests (RFC 7644,
// section 3.4.2). A client account is a resource of type User.
package scim

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"heatherloom/internal/external"
)

// PathUsers is the path of the User resources below the base URL.
const PathUsers = "/Users"

// SchemaList is the schema URN of a list response.
const SchemaList = "urn:ietf:params:scim:api:messages:2.0:ListResponse"

// FilterInactive selects the accounts that are not active. Reading all of 44,000 client
// accounts takes 88 requests, which is too many to repeat regularly.
const FilterInactive = "active eq false"

// ContentType is the media type of requests and responses.
const ContentType = "application/scim+json"

const (
	callTimeout = 10 * time.Second
	// pageSize is the number of accounts requested per page. The directory may return
	// fewer.
	pageSize         = 500
	maxResponseBytes = 8 << 20
)

// User is a client account in a list response.
type User struct {
	ID       string `json:"id"`
	UserName string `json:"userName"`
	// Active is optional; an account without it is active.
	Active *bool `json:"active,omitempty"`
}

// ListResponse is one page of a list.
type ListResponse struct {
	Schemas      []string `json:"schemas"`
	TotalResults int      `json:"totalResults"`
	// StartIndex is the 1-based index of the first resource of the page.
	StartIndex   int    `json:"startIndex"`
	ItemsPerPage int    `json:"itemsPerPage"`
	Resources    []User `json:"Resources"`
}

// Client implements external.Directory.
type Client struct {
	base   string
	filter string
	http   *http.Client
}

var _ external.Directory = (*Client)(nil)

// New returns a client of the directory at the URL base. It lists the accounts that match
// filter; an empty filter matches all.
func New(base, filter string) *Client {
	return &Client{base: base, filter: filter, http: &http.Client{Timeout: callTimeout}}
}

// Accounts implements external.Directory. It returns an error if the length of the list
// changes between two pages, because an account may then be missing from the result.
func (c *Client) Accounts(ctx context.Context) ([]external.DirectoryAccount, error) {
	var accounts []external.DirectoryAccount
	total := -1
	for {
		page, err := c.page(ctx, len(accounts)+1)
		if err != nil {
			return nil, err
		}
		if total >= 0 && page.TotalResults != total {
			return nil, eris.Errorf("read client directory: number of accounts changed from %d to %d between pages", total, page.TotalResults)
		}
		total = page.TotalResults
		for _, user := range page.Resources {
			active := user.Active == nil || *user.Active
			accounts = append(accounts, external.DirectoryAccount{Name: user.UserName, Active: active})
		}
		if len(accounts) >= total {
			return accounts, nil
		}
		if len(page.Resources) == 0 {
			return nil, eris.Errorf("read client directory: got only %d of %d accounts", len(accounts), total)
		}
	}
}

func (c *Client) page(ctx context.Context, start int) (ListResponse, error) {
	query := url.Values{
		"startIndex": {strconv.Itoa(start)},
		"count":      {strconv.Itoa(pageSize)},
		"attributes": {"userName,active"},
	}
	if c.filter != "" {
		query.Set("filter", c.filter)
	}
	var page ListResponse
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+PathUsers+"?"+query.Encode(), nil)
	if err != nil {
		return page, eris.Wrap(err, "build client directory request")
	}
	req.Header.Set("Accept", ContentType)
	resp, err := c.http.Do(req)
	if err != nil {
		return page, eris.Wrap(err, "read client directory")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return page, eris.Errorf("read client directory: status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&page); err != nil {
		return page, eris.Wrap(err, "decode client directory page")
	}
	return page, nil
}
