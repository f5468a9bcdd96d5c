package process_test

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// portRangeFile is where Linux tells which ports it gives to whoever asks for any.
const portRangeFile = "/proc/sys/net/ipv4/ip_local_port_range"

// A process listens some time after its address was chosen. A port that the system gives to others may have gone by then to a
// program that listens on all hosts, and the process ends at its start.
func TestAddressesAreNotGivenToOthers(t *testing.T) {
	content, err := os.ReadFile(portRangeFile)
	if err != nil {
		t.Skipf("no Linux: %s", err)
	}
	lowest, err := strconv.Atoi(strings.Fields(string(content))[0])
	assert.NilError(t, err)
	for range 20 {
		_, port, err := net.SplitHostPort(freeAddress(t))
		assert.NilError(t, err)
		number, err := strconv.Atoi(port)
		assert.NilError(t, err)
		assert.Assert(t, number < lowest, "port %d, of %d and up for others", number, lowest)
	}
}
