package leafgossip

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
)

// A packed observation is the leaf's key, its slowness and its silence, in this many bytes: a
// message to 3,300 nodes over 17,000 leafs must be small.
const packedBytes = 6

// Units of the packed figures; larger values are cut to what a byte holds.
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

// unpack decodes observations; a rest that is no whole observation is left out.
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

// toByte rounds up, so that nothing positive becomes zero.
func toByte(figure float64) byte {
	return byte(min(max(math.Ceil(figure), 0), math.MaxUint8))
}
