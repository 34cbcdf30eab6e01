package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/product/admin"
)

const quarantineAbout = `Lists the requests under which servers have ended, as one gateway knows them, or
releases one of them in all gateways. ADDRESS is the admin address of any gateway.
The digest of a request stands in the log lines AttemptFailed and CallRefused.

Examples:
  mustardsaddle quarantine 10.0.1.5:8081
  mustardsaddle quarantine 10.0.1.5:8081 --release 3f0c9a4be1d27786a5104cd2f39b8e60`

type quarantineCommand struct {
	Release string `long:"release" value-name:"DIGEST" description:"digest of the request to release"`
	Args    struct {
		Address string `positional-arg-name:"ADDRESS" description:"admin address of a gateway"`
	} `positional-args:"true" required:"1"`

	ctx context.Context
	cfg Config
}

// Execute lists the requests, or releases one.
func (c *quarantineCommand) Execute(args []string) error {
	if err := NoArguments(args); err != nil {
		return err
	}
	if c.Release == "" {
		return c.list()
	}
	digest, err := mustardsaddle.ParseRequestDigest(c.Release)
	if err != nil {
		return StatusErrorf(Usage, "%v", err)
	}
	if _, err := sendAdmin(c.ctx, http.MethodDelete, c.Args.Address, admin.QuarantinePath+"/"+digest.String()); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.cfg.Out, "released %s\n", digest)
	return nil
}

// list prints the requests.
func (c *quarantineCommand) list() error {
	body, err := sendAdmin(c.ctx, http.MethodGet, c.Args.Address, admin.QuarantinePath)
	if err != nil {
		return err
	}
	var suspects []admin.Suspect
	if err := json.Unmarshal(body, &suspects); err != nil {
		return StatusErrorf(Failed, "can't read the list: %v", err)
	}
	w := tabwriter.NewWriter(c.cfg.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "DIGEST\tSERVICE\tSTATE\tSERVERS\tRETESTS\tAGE\tWAIT")
	for _, s := range suspects {
		names := make([]string, len(s.Servers))
		for i, server := range s.Servers {
			names[i] = server.Name
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%.1fs\t%.1fs\n", s.Digest, s.Service, s.State, strings.Join(names, ","), s.Retests, s.Age, s.Wait)
	}
	return w.Flush()
}
