package loopback

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

// TestFreeAddressAvoidsEphemeralPorts checks that FreeAddress picks ports below the ephemeral range. A process listens some
// time after its address was chosen; until then, the system may give an ephemeral port to a program that listens on all
// addresses.
func TestFreeAddressAvoidsEphemeralPorts(t *testing.T) {
	content, err := os.ReadFile(portRangeFile)
	if err != nil {
		t.Skipf("not on Linux: %s", err)
	}
	lowest, err := strconv.Atoi(strings.Fields(string(content))[0])
	assert.NilError(t, err)
	for range 20 {
		address, err := FreeAddress()
		assert.NilError(t, err)
		_, port, err := net.SplitHostPort(address)
		assert.NilError(t, err)
		number, err := strconv.Atoi(port)
		assert.NilError(t, err)
		assert.Assert(t, number < lowest, "port %d is in the ephemeral range, which begins at %d", number, lowest)
	}
}

// An address is not handed out again while nobody listens there.
func TestFreeAddressIsUnique(t *testing.T) {
	seen := make(map[string]bool)
	for range 2 * hostsPerByte {
		address, err := FreeAddress()
		assert.NilError(t, err)
		assert.Assert(t, !seen[address], "%s was handed out twice", address)
		seen[address] = true
	}
}
