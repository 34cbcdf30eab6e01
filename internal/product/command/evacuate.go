package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/product/admin"
)

const evacuateAbout = `Asks that nothing be sent to the endpoint servers of an availability zone until that is
taken back with --end. ADDRESS is the admin address of any gateway, which submits the
rules file with the line Evacuate=ZONE. On a platform that lists evacuations itself, they
are written in the platform's store instead.

Examples:
  mustardsaddle evacuate 10.0.1.5:8081 zone-b --comment "Ana: power work until noon"
  mustardsaddle evacuate 10.0.1.5:8081 zone-b --end`

const evacuationsAbout = `Lists the evacuated availability zones as one gateway knows them: since when, who asked
for it, and how many requests of this gateway still run there.

Example:
  mustardsaddle evacuations 10.0.1.5:8081`

type evacuateCommand struct {
	Comment string `long:"comment" value-name:"COMMENT" description:"who asks for it and why, as in: Ana: power work"`
	End     bool   `long:"end" description:"take the evacuation back"`
	Args    struct {
		Address string `positional-arg-name:"ADDRESS" description:"admin address of a gateway"`
		Zone    string `positional-arg-name:"ZONE" description:"availability zone"`
	} `positional-args:"true" required:"2"`

	ctx context.Context
	cfg Config
}

// Execute begins or ends the evacuation of a zone.
func (c *evacuateCommand) Execute(args []string) error {
	if err := NoArguments(args); err != nil {
		return err
	}
	method, done := http.MethodPut, "evacuation requested"
	if c.End {
		method, done = http.MethodDelete, "end of the evacuation requested"
	} else if c.Comment == "" {
		return StatusErrorf(Usage, "got no --comment, want one that names who asks for the evacuation and why")
	}
	path := admin.EvacuationsPath + "/" + url.PathEscape(c.Args.Zone) + "?" + url.Values{admin.CommentField: {c.Comment}}.Encode()
	if _, err := sendAdmin(c.ctx, method, c.Args.Address, path); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.cfg.Out, "%s: %s\n", c.Args.Zone, done)
	return nil
}

type evacuationsCommand struct {
	Args struct {
		Address string `positional-arg-name:"ADDRESS" description:"admin address of a gateway"`
	} `positional-args:"true" required:"1"`

	ctx context.Context
	cfg Config
}

// Execute lists the evacuated zones.
func (c *evacuationsCommand) Execute(args []string) error {
	if err := NoArguments(args); err != nil {
		return err
	}
	body, err := sendAdmin(c.ctx, http.MethodGet, c.Args.Address, admin.EvacuationsPath)
	if err != nil {
		return err
	}
	var page admin.Evacuations
	if err := json.Unmarshal(body, &page); err != nil {
		return StatusErrorf(Failed, "can't read the list: %v", err)
	}
	_, _ = fmt.Fprintf(c.cfg.Out, "zones: %s; evacuations are written in: %s\n", strings.Join(page.Zones, ", "), page.WrittenIn)
	w := tabwriter.NewWriter(c.cfg.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "ZONE\tSINCE\tSERVERS\tINFLIGHT\tCOMMENT")
	for _, z := range page.Evacuated {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", z.Zone, z.Since.UTC().Format(time.RFC3339), z.Servers, z.InFlight, z.Comment)
	}
	return w.Flush()
}
