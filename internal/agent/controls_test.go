package agent

import (
	"slices"
	"testing"

	"marlreel/internal/api"
	"marlreel/internal/process/bootstrap"
)

func TestControlsOfOwnZoneComeFirst(t *testing.T) {
	settings := &bootstrap.Settings{NodeName: "edge-1", Zone: "east", InternalPorts: []int{7660}}
	west := &api.ControlNode{Address: "10.1.0.1:7660", Zone: "west"}
	east := &api.ControlNode{Address: "10.1.0.2:7660", Zone: "east"}
	north := &api.ControlNode{Address: "10.1.0.3:7660", Zone: "north"}
	addresses := controlAddresses(settings, []*api.ControlNode{west, east, north, east})
	if len(addresses) != 3 || addresses[0] != east.Address {
		t.Errorf("addresses are %v, want each of the 3 once and %s first", addresses, east.Address)
	}
	again := controlAddresses(settings, []*api.ControlNode{north, east, west})
	if !slices.Equal(addresses, again) {
		t.Errorf("addresses are %v, but %v for another order of the input", addresses, again)
	}
}
