package settings

import (
	"flag"
	"fmt"
	"strings"
)

// envPrefix starts the names of the environment variables.
const envPrefix = "JUJUBEFORD_"

// EnvName returns the name of a flag's environment variable.
func EnvName(flagName string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// Fault is one invalid setting.
type Fault struct {
	// Name is the name of the flag, without its hyphen; empty if the fault concerns
	// several settings.
	Name    string
	Message string
}

// Faults lists all faults of a command's settings.
type Faults []Fault

// Error formats the faults, one per line.
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

// Check adds a check that concerns several settings. It runs only if every single
// setting is valid.
func (s *Set) Check(check func() error) {
	s.checks = append(s.checks, check)
}

// Resolve sets all settings from their flags or, where a flag is not set, from the
// environment, and checks them. The error is of type Faults.
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

// variable is one setting. As a flag.Value it only stores the flag's text. Resolve
// parses it later, so that an invalid value does not hide the faults after it.
type variable struct {
	name string
	// boolean means that the setting is of type bool.
	boolean bool
	// text is the flag's text if present is true, and the default otherwise.
	text    string
	present bool
	// assign parses a text and stores the value.
	assign func(text string) error
	// check checks the stored value.
	check func() error
}

// String returns the text of the flag or the default.
func (v *variable) String() string { return v.text }

// Set stores the text of the flag.
func (v *variable) Set(text string) error {
	v.text, v.present = text, true
	return nil
}

// IsBoolFlag reports whether the flag may be given without a value.
func (v *variable) IsBoolFlag() bool { return v.boolean }

// resolve assigns the setting from its flag or environment variable, or leaves the
// default, and checks it.
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
