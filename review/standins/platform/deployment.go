package main

import (
	"fmt"
	"time"
)

const (
	// leadTime is how long after the machines traffic starts.
	leadTime = 10 * time.Second
	// programsPerSecond is the rate of new programs, about 24 turns and 38 calls of tools a second.
	programsPerSecond = 8.0
)

var zones = []string{"mid-a", "mid-b", "mid-c"}

// deploy publishes the configuration, starts the engines, and prepares a gateway and a replica in each zone.
func deploy(played *fleet, binary string, modelEngines, plainEngines int) error {
	played.configure()
	for number := range modelEngines {
		if err := played.addEngine(&engine{id: fmt.Sprintf("m-%d", number), service: modelService, zone: zones[number%len(zones)], version: "v1", slots: 12, model: true}); err != nil {
			return err
		}
	}
	for number := range plainEngines {
		if err := played.addEngine(&engine{id: fmt.Sprintf("p-%d", number), service: plainService, zone: zones[number%len(zones)], version: "v1", slots: 6}); err != nil {
			return err
		}
	}
	for _, zone := range zones {
		for _, role := range []string{replicaRole, gatewayRole} {
			if err := played.addProcess(binary, role, zone, 1); err != nil {
				return err
			}
		}
	}
	return nil
}
