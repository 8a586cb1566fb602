// Command buskers prints the example configuration of the Peach State Busker Power
// Cooperative: an assistant that plans a player's day, a booking service and a
// payment service. Its output is committed as config.yaml.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jujubeford/jujubeford/config"
)

// Names of the services of the cooperative.
const (
	assistant = "assistant"
	booking   = "booking"
	payment   = "payment"
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
	cfg, err := config.New("busker-power").
		Service(services()...).
		Organisation(organisations()...).
		Build()
	if err != nil {
		return nil, err
	}
	return cfg.Print()
}

// services returns the services that players call. The maximum waits are short because
// a late answer is of no use to a player. In the booking and payment services, only
// reads may be repeated after a failure; all writes run at most once.
func services() []config.Service {
	return []config.Service{
		config.ModelService(assistant, "busker-assistant").
			Continuing().
			WithSlots(8).
			WithWait(8 * time.Second).
			WithSilence(4 * time.Second).
			WithFencing().
			WithObjectives(config.Objectives{
				FirstToken: 1600 * time.Millisecond,
				TokenGap:   42 * time.Millisecond,
				Target:     0.95,
			}),
		config.PlainService(booking, "/booking/").
			WithSlots(16).
			WithWait(3*time.Second).
			Repeatable().
			RunWritesOnce("/booking/", "changes a booking").
			RunOnce("POST", "/booking/swaps", "books a charged battery pack at a kiosk").
			RunOnce("DELETE", "/booking/swaps", "gives a booked battery pack back").
			RunOnce("POST", "/booking/permits", "applies for a corner").
			WithObjectives(config.Objectives{Answer: 500 * time.Millisecond, Target: 0.99}),
		config.PlainService(payment, "/payment/").
			WithSlots(8).
			WithWait(3*time.Second).
			Repeatable().
			RunWritesOnce("/payment/", "moves money").
			RunOnce("POST", "/payment/charges", "charges a player").
			RunOnce("POST", "/payment/refunds", "pays a player back").
			WithObjectives(config.Objectives{Answer: time.Second, Target: 0.999}),
	}
}

// organisations returns the four large members of the cooperative, which are former
// competitors, and the players' groups, which share the remaining capacity.
func organisations() []config.Organisation {
	shares := []struct {
		name  string
		share int
	}{
		{"peachtree-power", 240},
		{"savannah-amps", 200},
		{"five-points-swaps", 160},
		{"river-street-packs", 120},
		{"beltline-fiddlers", 30},
		{"cabbagetown-brass", 30},
		{"city-market-strings", 30},
		{"decatur-square-duo", 25},
		{"east-atlanta-horns", 25},
		{"forsyth-park-drums", 25},
		{"grant-park-choir", 20},
		{"krog-street-reeds", 20},
		{"little-five-accordions", 20},
		{"piedmont-pipers", 20},
		{"starland-steel", 20},
		{"tybee-ukuleles", 15},
	}
	var list []config.Organisation
	for _, s := range shares {
		list = append(list, config.NewOrganisation(s.name, s.share).
			WithKey("example-key-"+s.name).
			Reaching(assistant, booking, payment).
			WithQueue(500))
	}
	return list
}
