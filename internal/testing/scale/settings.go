package scale

import (
	"fmt"

	"marlreel/internal/process/bootstrap"
	"marlreel/internal/testing/fakesystem"
)

// The loopback address of a machine encodes its kind and number; all machines use the same ports.
const (
	kindControl = 41
	kindProxy   = 42
	kindBackend = 43
	// kindInternal is added to the kind for the address of connections between processes of the same machine.
	kindInternal = 10
	// machinesPerSubnet is how many machines share the third octet of an address.
	machinesPerSubnet = 200

	peerPort    = 17660
	lastPort    = peerPort + 15 // last of the internal ports, which the platform leaves free
	frontPort   = 18080
	readyPort   = 18081
	controlPort = 18082
	backendPort = 19000
)

// maxSeeds is how many control processes a settings file names at most.
const maxSeeds = 3

func ipOf(kind, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", kind, number/machinesPerSubnet, number%machinesPerSubnet+1)
}

func addressOf(kind, number, port int) string { return fmt.Sprint(ipOf(kind, number), ":", port) }

func (cfg Config) zone(number int) string { return fmt.Sprint("zone-", number%cfg.Zones) }

// settings returns the settings of a machine.
func (cfg Config) settings(name string, kind, number int) *bootstrap.Settings {
	s := &bootstrap.Settings{
		NodeName: name, IP: ipOf(kind, number), Zone: cfg.zone(number), InternalPorts: []int{peerPort, lastPort},
		LoopbackIP: ipOf(kind+kindInternal, number), FirstStart: true,
		HeartbeatIntervalMS: float64(cfg.HeartbeatInterval.Milliseconds()), Zones: map[string]string{},
		Limits:    bootstrap.Limits{MemoryMB: 256, MaxOpenFiles: 4096},
		Tolerance: bootstrap.FaultTolerance{Machines: (cfg.Controls - 1) / 2},
		Bounds:    fakesystem.Bounds(),
		Listen: bootstrap.ListenAddresses{
			Front:     addressOf(kind, number, frontPort),
			Readiness: addressOf(kind, number, readyPort),
			Control:   addressOf(kind, number, controlPort),
		},
	}
	for zone := range cfg.Zones {
		s.Zones[cfg.zone(zone)] = "region"
	}
	for seed := range min(maxSeeds, cfg.Controls) {
		s.SeedNodes = append(s.SeedNodes, addressOf(kindControl, seed, controlPort))
	}
	return s
}
