package process_test

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// portRangeFile holds the range from which Linux assigns ephemeral ports.
const portRangeFile = "/proc/sys/net/ipv4/ip_local_port_range"

// TestFreeAddressAvoidsEphemeralPorts checks that freeAddress picks ports below the ephemeral range. A process listens some time
// after its address was chosen; until then, the system may give an ephemeral port to a program that listens on all addresses.
func TestFreeAddressAvoidsEphemeralPorts(t *testing.T) {
	content, err := os.ReadFile(portRangeFile)
	if err != nil {
		t.Skipf("not on Linux: %s", err)
	}
	lowest, err := strconv.Atoi(strings.Fields(string(content))[0])
	assert.NilError(t, err)
	for range 20 {
		_, port, err := net.SplitHostPort(freeAddress(t))
		assert.NilError(t, err)
		number, err := strconv.Atoi(port)
		assert.NilError(t, err)
		assert.Assert(t, number < lowest, "port %d is in the ephemeral range, which begins at %d", number, lowest)
	}
}
