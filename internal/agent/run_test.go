package agent

import (
	"testing"

	"github.com/matryer/is"

	"marlreel/internal/testing/simnet"
)

// If one of the addresses is in use, listen closes the listeners at the others.
func TestListenOpensAllAddressesOrNone(t *testing.T) {
	is := is.New(t)
	machine := simnet.New(simnet.Config{}).Machine("10.2.0.1")
	taken, err := machine.Listen("10.2.0.1:7661")
	is.NoErr(err)
	_, err = listen(machine, "10.2.0.1:7660", "10.2.0.1:7661")
	is.True(err != nil)
	is.NoErr(taken.Close())
	listeners, err := listen(machine, "10.2.0.1:7660", "10.2.0.1:7661")
	is.NoErr(err)
	closeAll(listeners)
}
