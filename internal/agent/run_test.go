package agent

import (
	"testing"

	"github.com/matryer/is"

	"marlreel/internal/testing/simnet"
)

// Where one of the addresses is taken, the others are free again.
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
