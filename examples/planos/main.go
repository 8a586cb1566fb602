// Command planos prints the example configuration of Planos del Reposo Unificados:
// a drafting model, and a registry service for plot lookups and transfers of grave
// titles. Its output is committed as config.yaml.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jujubeford/jujubeford/config"
)

// Names of the services of Planos.
const (
	drafting = "drafting"
	registry = "registry"
)

func main() {
	text, err := renderConfig()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Stdout.Write(text)
}

// renderConfig builds the configuration and returns its canonical YAML.
func renderConfig() ([]byte, error) {
	cfg, err := config.New("planos-del-reposo").
		Service(services()...).
		Organisation(organisations()...).
		Build()
	if err != nil {
		return nil, err
	}
	return cfg.Print()
}

// services returns the drafting model, whose drafts of sections may take long, and the
// registry, where a transfer must never run twice.
func services() []config.Service {
	return []config.Service{
		config.ModelService(drafting, "section-drafter").
			Continuing().
			WithSlots(6).
			WithWait(20 * time.Second).
			WithSilence(6 * time.Second).
			WithObjectives(config.Objectives{
				FirstToken: 1600 * time.Millisecond,
				TokenGap:   42 * time.Millisecond,
				Target:     0.95,
			}),
		config.PlainService(registry, "/registry/").
			WithSlots(12).
			WithWait(5*time.Second).
			Repeatable().
			RunWritesOnce("/registry/", "changes the registry").
			RunOnce("POST", "/registry/transfers", "transfers the title of a grave").
			RunOnce("PUT", "/registry/titles", "enters a title").
			RunOnce("POST", "/registry/fees", "charges a fee").
			WithObjectives(config.Objectives{Answer: 300 * time.Millisecond, Target: 0.99}),
	}
}

// organisations returns the registries, parish offices and funeral homes. Funeral homes
// may use both services, but with small shares.
func organisations() []config.Organisation {
	shares := []struct {
		name  string
		share int
	}{
		{"registro-rosario", 220},
		{"registro-la-plata", 180},
		{"registro-colonia", 150},
		{"registro-quilmes", 60},
		{"registro-tigre", 60},
		{"parroquia-san-telmo", 40},
		{"parroquia-san-isidro", 40},
		{"parroquia-del-pilar", 35},
		{"parroquia-santa-lucia", 35},
		{"parroquia-carmelo", 30},
		{"casa-funebre-aurora", 30},
		{"casa-funebre-del-sur", 30},
		{"casa-funebre-ibarra", 25},
		{"casa-funebre-la-paz", 25},
		{"casa-funebre-olivos", 20},
		{"casa-funebre-rio", 20},
	}
	var list []config.Organisation
	for _, s := range shares {
		list = append(list, config.NewOrganisation(s.name, s.share).
			WithKey("example-key-"+s.name).
			Reaching(drafting, registry).
			WithQueue(400))
	}
	return list
}
