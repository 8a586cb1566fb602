// Command jujubeford runs a router and operates a fleet of routers.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/internal/cli"
	"github.com/jujubeford/jujubeford/platform"
	"github.com/jujubeford/jujubeford/store"
	"github.com/jujubeford/jujubeford/store/consul"
)

func main() {
	klog.InitFlags(nil)
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(cli.RouterCommand(openPlatform), "")
	subcommands.Register(cli.GatewayCommand(platform.LoadSettings, platform.SettingsVariable), "")
	subcommands.Register(cli.ConfigCommand(openStore), "")
	subcommands.Register(cli.CheckDeployCommand(platform.LoadDeploy, platform.LoadSettings), "")
	subcommands.Register(cli.CheckConfigCommand(cli.PlatformConfigs{Parse: platform.ParseConfig, Fetch: platform.FetchConfig}, platform.LoadSettings), "")
	subcommands.Register(cli.StatusCommand(), "")
	subcommands.Register(cli.ExplainCommand(), "")
	subcommands.Register(cli.ReleaseCommand(), "")
	subcommands.Register(cli.ReportCommand(), "")
	flag.Parse()
	code := subcommands.Execute(context.Background())
	klog.Flush()
	os.Exit(int(code))
}

func openPlatform(addr string) (store.Store, store.Directory) {
	c := consul.New(consul.Options{Addr: addr})
	return c, c
}

func openStore(addr string) store.Store {
	return consul.New(consul.Options{Addr: addr})
}
