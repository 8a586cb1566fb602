package config_test

import (
	"fmt"
	"os"
	"time"

	"github.com/jujubeford/jujubeford/config"
)

func Example() {
	cfg, err := config.New("busker-power").
		Service(
			config.ModelService("assistant", "busker-assistant").
				WithObjectives(config.Objectives{FirstToken: 1600 * time.Millisecond, Target: 0.95}),
			config.PlainService("payment", "/payment/").
				RunOnce("POST", "/payment/charges", "charges a player"),
		).
		Organisation(
			config.NewOrganisation("savannah-amps", 30).
				WithKey("example-key-savannah-amps").
				Reaching("assistant", "payment"),
		).
		Build()
	if err != nil {
		fmt.Println(err)
		return
	}
	text, err := cfg.Print()
	if err != nil {
		fmt.Println(err)
		return
	}
	os.Stdout.Write(text)
	// Output:
	// # Configuration of the fleet "busker-power"; services: 2, organisations: 1.
	// #
	// # services: what can be called.
	// #   slots: requests that one replica runs at a time
	// #   max_wait: longest wait before a request is refused
	// #   silent_after: how long a replica may say nothing before its work has failed
	// #   checks_fencing: whether replicas refuse outdated orders
	// #   load: what each replica is ordered to have loaded
	// #   continues: whether a replica can go on with an answer that another one began
	// #   idempotent: whether work that "once" does not list may be sent again
	// #   once: work that never runs twice
	// #   objectives: what is aimed at; target 0.95 means 95 in 100 requests
	// # organisations: who may call.
	// #   share: weight when all want service at once, out of 30 in all
	// #   keys: fingerprints of the access keys, which cannot be found from them
	// #   services: all that the organisation may call
	// #   max_queued: requests that may wait at one router
	// #
	// # digest: sha256:6230375eb8e234b71e2b67d5c0a8ed5fea2df802eabd6232939ee4192ff3d268
	// fleet: busker-power
	// services:
	//   - name: assistant
	//     kind: model
	//     model: busker-assistant
	//     slots: 8
	//     max_wait: 10s
	//     silent_after: 5s
	//     checks_fencing: false
	//     idempotent: true
	//     objectives:
	//       first_token: 1.6s
	//       target: 0.95
	//   - name: payment
	//     kind: plain
	//     prefix: /payment/
	//     slots: 8
	//     max_wait: 10s
	//     silent_after: 5s
	//     checks_fencing: false
	//     idempotent: false
	//     once:
	//       - method: POST
	//         path: /payment/charges
	//         why: charges a player
	// organisations:
	//   - name: savannah-amps
	//     share: 30
	//     keys:
	//       - 27cccde25959be16d4067ad014167e632233cb71760f4c3809517b876776f845
	//     services:
	//       - assistant
	//       - payment
	//     max_queued: 1000
}

func ExampleConfig_Check() {
	cfg := &config.Config{
		Fleet:    "busker-power",
		Services: []config.Service{config.PlainService("payment", "/payment")},
		Organisations: []config.Organisation{
			config.NewOrganisation("savannah-amps", 0).WithKey("example-key-savannah-amps").Reaching("payments"),
		},
	}
	fmt.Println(cfg.Check())
	// Output:
	// services[0].prefix: "/payment" is not a clean path such as "/booking/"
	// organisations[0].share: 0 is not between 1 and 10000
	// organisations[0].services[0]: there is no service "payments"
}
