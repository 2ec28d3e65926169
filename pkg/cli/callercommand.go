package cli

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/rotisserie/eris"
)

// caller holds the options that say who sends a request to which service.
type caller struct {
	Team      string `long:"team" description:"team" required:"true"`
	Service   string `long:"service" description:"service of the team" required:"true"`
	Token     string `long:"token" description:"caller's token; prefer the environment or --token-file, which other processes can't list" env:"SYCAMORELIFT_TOKEN" default-mask:"-"`
	TokenFile string `long:"token-file" description:"file with the caller's token"`
}

// path returns the URL path of an operation of the service.
func (c caller) path(operation string) string {
	return "/v1/" + url.PathEscape(c.Team) + "/" + url.PathEscape(c.Service) + "/" + operation
}

// header returns the headers that name the caller.
func (c caller) header() (http.Header, error) {
	token := c.Token
	if c.TokenFile != "" {
		data, err := readFile(c.TokenFile)
		if err != nil {
			return nil, eris.Wrap(err, "read token")
		}
		token = strings.TrimSpace(string(data))
	}
	if token == "" {
		return nil, usageError("give the caller's token in SYCAMORELIFT_TOKEN or --token-file")
	}
	return http.Header{"Authorization": {"Bearer " + token}}, nil
}
