package leafgossip

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
)

// packedBytes is the size of a packed observation: 4 bytes for the leaf's key, 1 for its slowness and 1 for its silence.
// Messages must be small, since fleets have thousands of nodes and leafs.
const packedBytes = 6

// Units of the packed values; larger values are limited to the maximum of a byte.
const (
	slownessUnit = 0.125
	silenceUnit  = 20 * time.Millisecond
)

// pack encodes observations.
func pack(seen []balancer.Observation) peer.LeafReports {
	packed := make([]byte, 0, len(seen)*packedBytes)
	for _, o := range seen {
		packed = binary.BigEndian.AppendUint32(packed, uint32(o.Leaf))
		packed = append(packed, toByte(o.Slowness/slownessUnit), toByte(float64(o.Silence)/float64(silenceUnit)))
	}
	return packed
}

// unpack decodes observations; an incomplete one at the end is ignored.
func unpack(packed peer.LeafReports) []balancer.Observation {
	seen := make([]balancer.Observation, 0, len(packed)/packedBytes)
	for len(packed) >= packedBytes {
		seen = append(seen, balancer.Observation{
			Leaf:     balancer.LeafKey(binary.BigEndian.Uint32(packed)),
			Slowness: float64(packed[4]) * slownessUnit,
			Silence:  time.Duration(packed[5]) * silenceUnit,
		})
		packed = packed[packedBytes:]
	}
	return seen
}

// toByte rounds up, so that no positive value becomes zero.
func toByte(value float64) byte {
	return byte(min(max(math.Ceil(value), 0), math.MaxUint8))
}
