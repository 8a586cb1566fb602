package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"sync"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/internal/standin/netfault"
	"github.com/jujubeford/jujubeford/store"
)

// instanceFlags are the flags that engines and plain services share.
type instanceFlags struct {
	listen   string
	control  string
	name     string
	service  string
	domain   string
	platform string
	count    int
}

func (f *instanceFlags) register(flags *flag.FlagSet, name string) {
	flags.StringVar(&f.listen, "listen", "127.0.0.1:0", "IP:port for callers; with -count, the first of consecutive ports")
	flags.StringVar(&f.control, "control", "", "IP:port of the control port; none if empty")
	flags.StringVar(&f.name, "name", name, "name of the instance; with -count, \"-1\", \"-2\" ... are added")
	flags.StringVar(&f.service, "service", name, "service under which the instance is listed")
	flags.StringVar(&f.domain, "domain", "domain-1", "failure domain of the instance")
	flags.StringVar(&f.platform, "platform", "", "IP:port of the platform to register with; none if empty")
	flags.IntVar(&f.count, "count", 1, "number of instances in this process")
}

// validate returns one error that names every invalid shared flag.
func (f *instanceFlags) validate() error {
	var errs []error
	if f.count < 1 {
		errs = append(errs, errors.New("-count must be at least 1"))
	}
	if _, err := offsetPort(f.listen, 0); err != nil {
		errs = append(errs, errors.Wrap(err, "-listen"))
	}
	if f.name == "" {
		errs = append(errs, errors.New("-name must not be empty"))
	}
	if f.service == "" {
		errs = append(errs, errors.New("-service must not be empty"))
	}
	return joinErrors(errs)
}

// instanceName returns the name of the instance with index i.
func (f *instanceFlags) instanceName(i int) string {
	if f.count == 1 {
		return f.name
	}
	return fmt.Sprintf("%s-%d", f.name, i+1)
}

// handlerFactory returns the handlers of one instance, for callers and for its control
// port. The instance calls onLeaving when its leaving state changes.
type handlerFactory func(name string, listener *netfault.Listener, onLeaving func(bool)) (handler, control http.Handler)

// run starts all instances and serves until the context ends or a server fails. It
// returns after the instances have been deregistered.
func (f *instanceFlags) run(ctx context.Context, newHandlers handlerFactory) subcommands.ExitStatus {
	servers := newServerGroup()
	var instances []servedInstance
	var registrars []*registrar
	for i := range f.count {
		m, r, err := f.openInstance(i, newHandlers)
		if err != nil {
			return runtimeError(err)
		}
		servers.serve(m.listener, m.handler)
		instances = append(instances, m)
		registrars = append(registrars, r)
	}
	if err := servers.serveControl(f.control, controlByName(instances)); err != nil {
		return runtimeError(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var deregistered sync.WaitGroup
	for _, r := range registrars {
		deregistered.Go(func() { r.run(ctx) })
	}
	err := servers.wait(ctx)
	cancel()
	deregistered.Wait()
	if err != nil {
		return runtimeError(err)
	}
	return subcommands.ExitSuccess
}

// openInstance binds the port of instance i and creates its handlers and registrar.
func (f *instanceFlags) openInstance(i int, newHandlers handlerFactory) (servedInstance, *registrar, error) {
	addr, err := offsetPort(f.listen, i)
	if err != nil {
		return servedInstance{}, nil, err
	}
	listener, err := netfault.Listen(addr)
	if err != nil {
		return servedInstance{}, nil, err
	}
	m := servedInstance{name: f.instanceName(i), listener: listener}
	r := newRegistrar(f.platform, store.Instance{
		ID:      m.name,
		Service: f.service,
		Addr:    listener.Addr().String(),
		Domain:  f.domain,
	})
	m.handler, m.control = newHandlers(m.name, listener, r.setLeaving)
	klog.InfoS("standin: instance is listening", "name", m.name, "service", f.service,
		"domain", f.domain, "addr", listener.Addr().String())
	return m, r, nil
}
