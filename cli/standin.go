package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/settings"
	"github.com/parsleydeal/parsleydeal/standin"
	"github.com/pelletier/go-toml/v2"
)

type listener struct {
	command
	Listen string `long:"listen" short:"l" required:"yes" description:"IP number and port to serve on"`
}

type platformStandin struct {
	listener
	VMs     string             `long:"vms" description:"file with the VM list in TOML, an array of tables named vms with id, role, pool, zone, region and address"`
	Quality map[string]float64 `long:"quality" description:"true quality of a version for the rater, such as small@1:0.7; may be repeated"`
}

type engineStandin struct {
	listener
	FirstToken string `long:"first-token" default:"200ms" description:"span before the first token"`
	TokenGap   string `long:"token-gap" default:"20ms" description:"span between tokens"`
	Tokens     int    `long:"tokens" default:"64" description:"length of every answer in tokens"`
}

type plainStandin struct{ listener }

func addStandin(p *flags.Parser) (err error) {
	parent, err := p.AddCommand("standin", "Run a stand-in of the platform, an engine or a plain service",
		"Standin runs a small stand-in in memory, so that the daemons can be tried without the platform. It is no part of a site.", &struct{}{})
	if err != nil {
		return err
	}
	a := &platformStandin{}
	a.run = a.serve
	if _, err = parent.AddCommand("platform", "Log, VM list, weight store and rater", "", a); err != nil {
		return err
	}
	b := &engineStandin{}
	b.run = b.serve
	if _, err = parent.AddCommand("engine", "A model engine", "", b); err != nil {
		return err
	}
	c := &plainStandin{}
	c.run = func(ctx context.Context, _ []string) error { return c.handle(ctx, standin.NewPlain().Handler()) }
	_, err = parent.AddCommand("plain", "A plain service that echoes", "", c)
	return err
}

// handle serves a handler until the context ends.
func (l *listener) handle(ctx context.Context, h http.Handler) (err error) {
	lis, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr, "stand-in serves on", lis.Addr())
	srv := &http.Server{Handler: h, ReadHeaderTimeout: clock.Millis(10 * clock.Second).Duration()}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err = srv.Serve(lis); err == http.ErrServerClosed {
		return nil
	}
	return err
}

func (c *platformStandin) serve(ctx context.Context, _ []string) (err error) {
	p := standin.NewPlatform()
	for version, q := range c.Quality {
		p.SetQuality(version, q)
	}
	if c.VMs != "" {
		vms, err := readVMs(c.VMs)
		if err != nil {
			return err
		}
		p.SetVMs(vms)
	}
	return c.handle(ctx, p.Handler())
}

// vmFile is a VM list in a file.
type vmFile struct {
	VMs []vmRow `toml:"vms"`
}

type vmRow struct {
	ID      string `toml:"id"`
	Role    string `toml:"role"`
	Pool    string `toml:"pool"`
	Zone    string `toml:"zone"`
	Region  string `toml:"region"`
	Address string `toml:"address"`
	Leaving bool   `toml:"leaving"`
}

func readVMs(path string) (vms []provider.VM, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, settings.ErrInvalid.Wrap(err, "read VM list")
	}
	var f vmFile
	if err = toml.Unmarshal(data, &f); err != nil {
		return nil, settings.ErrInvalid.New("%s", parseFaults(path, err))
	}
	for _, row := range f.VMs {
		vms = append(vms, provider.VM(row))
	}
	return vms, nil
}

func (c *engineStandin) serve(ctx context.Context, _ []string) (err error) {
	var first, gap clock.Millis
	if err = first.UnmarshalText([]byte(c.FirstToken)); err != nil {
		return fmt.Errorf("standin: --first-token: %w: %w", err, errUsage)
	}
	if err = gap.UnmarshalText([]byte(c.TokenGap)); err != nil {
		return fmt.Errorf("standin: --token-gap: %w: %w", err, errUsage)
	}
	return c.handle(ctx, standin.NewEngine(first, gap, c.Tokens).Handler())
}
