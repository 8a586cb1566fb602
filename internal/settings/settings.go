package settings

import (
	"flag"
	"fmt"
	"strings"
)

// envPrefix starts the names of the environment variables.
const envPrefix = "JUJUBEFORD_"

// EnvName is the environment variable of a flag.
func EnvName(flagName string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// Fault is one setting that cannot be used.
type Fault struct {
	// Name is the flag, without its hyphen; empty for faults between settings.
	Name    string
	Message string
}

// Faults are all faults of a command's settings.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Message
		if fault.Name != "" {
			lines[i] = fmt.Sprintf("-%s (%s): %s", fault.Name, EnvName(fault.Name), fault.Message)
		}
	}
	return strings.Join(lines, "\n")
}

// Set is the settings of one command.
type Set struct {
	flags  *flag.FlagSet
	vars   []*variable
	checks []func() error
}

// New returns a Set that registers its flags in fs.
func New(fs *flag.FlagSet) *Set {
	return &Set{flags: fs}
}

// Check adds a check that concerns several settings; it runs only when each of
// them is valid.
func (s *Set) Check(check func() error) {
	s.checks = append(s.checks, check)
}

// Resolve reads the settings that have no flag from the environment, and checks
// all of them. The error is of type Faults.
func (s *Set) Resolve(env func(string) string) error {
	var faults Faults
	for _, v := range s.vars {
		if err := v.resolve(env); err != nil {
			faults = append(faults, Fault{Name: v.name, Message: err.Error()})
		}
	}
	if len(faults) > 0 {
		return faults
	}
	for _, check := range s.checks {
		if err := check(); err != nil {
			faults = append(faults, Fault{Message: err.Error()})
		}
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// variable is one setting. As a flag.Value it only keeps the text, which Resolve
// reads, so that a fault does not hide the next one.
type variable struct {
	name    string
	boolean bool
	// text is the flag's text if given is set, and the default otherwise.
	text    string
	present bool
	assign  func(text string) error
	check   func() error
}

// String is the text of the setting.
func (v *variable) String() string { return v.text }

// Set keeps the text of a flag.
func (v *variable) Set(text string) error {
	v.text, v.present = text, true
	return nil
}

// IsBoolFlag reports whether the flag needs no value.
func (v *variable) IsBoolFlag() bool { return v.boolean }

// resolve reads the setting from its flag or environment variable and checks it.
func (v *variable) resolve(env func(string) string) error {
	text, present := v.text, v.present
	if !present {
		text = env(EnvName(v.name))
		present = text != ""
	}
	if present {
		if err := v.assign(text); err != nil {
			return err
		}
	}
	return v.check()
}
