package leafgossip

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
)

// packedObservationBytes is the size of a packed observation: 4 bytes for the leaf's key, 1 byte for its slowness and 1
// byte for its silence. Messages must be small, since fleets have thousands of nodes and leafs.
const packedObservationBytes = 6

// Units of the packed values. Values beyond the maximum of a byte are clamped.
const (
	slownessUnit = 0.125
	silenceUnit  = 20 * time.Millisecond
)

// pack encodes observations.
func pack(observations []balancer.Observation) peer.LeafObservations {
	packed := make([]byte, 0, len(observations)*packedObservationBytes)
	for _, o := range observations {
		packed = binary.BigEndian.AppendUint32(packed, uint32(o.Leaf))
		packed = append(packed, toByte(o.Slowness/slownessUnit), toByte(float64(o.Silence)/float64(silenceUnit)))
	}
	return packed
}

// unpack decodes observations. An incomplete observation at the end is ignored.
func unpack(packed peer.LeafObservations) []balancer.Observation {
	observations := make([]balancer.Observation, 0, len(packed)/packedObservationBytes)
	for len(packed) >= packedObservationBytes {
		observations = append(observations, balancer.Observation{
			Leaf:     balancer.LeafKey(binary.BigEndian.Uint32(packed)),
			Slowness: float64(packed[4]) * slownessUnit,
			Silence:  time.Duration(packed[5]) * silenceUnit,
		})
		packed = packed[packedObservationBytes:]
	}
	return observations
}

// toByte rounds a value up to a byte, so that no positive value becomes zero, and clamps it to the range of a byte.
func toByte(value float64) byte {
	return byte(min(max(math.Ceil(value), 0), math.MaxUint8))
}
