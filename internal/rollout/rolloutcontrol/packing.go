package rolloutcontrol

import (
	"encoding/binary"
	"slices"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/rollout/evidence"
)

// Bounds of packed rows.
const (
	// envelopeBytes is the approximate size of a datagram without its rows and the sender's ID: the names of its
	// fields, the sender's address and its start time.
	envelopeBytes = 200
	// headerBytes are the IP and UDP headers.
	headerBytes = 28
	// maxHistogramBuckets bounds the buckets of a received histogram. It permits finer histograms than this version
	// sends.
	maxHistogramBuckets = 256
	// maxNameBytes bounds a name in a row, in bytes.
	maxNameBytes = 255
	// maxCount bounds a received count, so that sums stay far from overflow.
	maxCount = 1 << 40
)

// packedRoom returns the number of bytes of packed rows that fit into a datagram. They are encoded in base64.
func packedRoom(node string) int {
	return (peer.MaxDatagram - envelopeBytes - len(node)) / 4 * 3
}

// datagramBytes returns the approximate size on the wire of a datagram with packed rows.
func datagramBytes(node string, packed int) int {
	return envelopeBytes + len(node) + (packed+2)/3*4 + headerBytes
}

// packer packs rows for one datagram. Repeated names are replaced by numbers, because the rows of a datagram share most
// names.
type packer struct {
	content []byte
	names   map[string]uint64
}

// add packs a row, and returns false if one of its names is too long or the content would exceed room bytes.
func (p *packer) add(row evidence.Row, room int) bool {
	if p.names == nil {
		p.names = map[string]uint64{}
	}
	names := []string{row.Service, row.Route, row.Version, row.Leaf, row.Zone}
	if slices.ContainsFunc(names, func(name string) bool { return len(name) > maxNameBytes }) {
		return false
	}
	before, known := len(p.content), len(p.names)
	for _, name := range names {
		p.name(name)
	}
	p.number(row.SpecID)
	p.number(row.Failures)
	p.histogram(row.Answered)
	p.histogram(row.Cancelled)
	if len(p.content) <= room {
		return true
	}
	p.content = p.content[:before]
	for name, number := range p.names {
		if number > uint64(known) {
			delete(p.names, name)
		}
	}
	return false
}

// name packs the number of a name, or 0 followed by the name itself if it is new. Numbers start at 1.
func (p *packer) name(name string) {
	number, found := p.names[name]
	if found {
		p.content = binary.AppendUvarint(p.content, number)
		return
	}
	p.names[name] = uint64(len(p.names) + 1)
	p.content = binary.AppendUvarint(p.content, 0)
	p.content = binary.AppendUvarint(p.content, uint64(len(name)))
	p.content = append(p.content, name...)
}

func (p *packer) number(number int64) {
	p.content = binary.AppendUvarint(p.content, uint64(max(number, 0)))
}

// histogram packs a histogram, starting at its first non-empty bucket.
func (p *packer) histogram(counts evidence.Histogram) {
	first := max(0, slices.IndexFunc(counts, func(count int64) bool { return count != 0 }))
	p.number(int64(first))
	p.number(int64(len(counts) - first))
	for _, count := range counts[first:] {
		p.number(count)
	}
}

// unpacker decodes the content of a packer. After malformed input it sets isMalformed and returns zero values.
type unpacker struct {
	content     []byte
	names       []string
	isMalformed bool
}

// unpack returns all rows of a datagram, or an error if any of it is malformed.
func unpack(content []byte) ([]evidence.Row, error) {
	u := &unpacker{content: content}
	var rows []evidence.Row
	for len(u.content) > 0 && !u.isMalformed {
		rows = append(rows, u.row())
	}
	if u.isMalformed {
		return nil, failure.Invalid("rollout_reports.rows", "malformed")
	}
	return rows, nil
}

func (u *unpacker) row() evidence.Row {
	var row evidence.Row
	for _, name := range []*string{&row.Service, &row.Route, &row.Version, &row.Leaf, &row.Zone} {
		*name = u.name()
	}
	row.SpecID = u.number()
	row.Failures = u.count()
	row.Answered = u.histogram()
	row.Cancelled = u.histogram()
	return row
}

func (u *unpacker) number() int64 {
	number, size := binary.Uvarint(u.content)
	if size <= 0 || int64(number) < 0 {
		u.isMalformed = true
		return 0
	}
	u.content = u.content[size:]
	return int64(number)
}

func (u *unpacker) count() int64 { return u.bounded(maxCount) }

func (u *unpacker) bounded(limit int64) int64 {
	number := u.number()
	if number > limit {
		u.isMalformed = true
		return 0
	}
	return number
}

func (u *unpacker) name() string {
	number := u.number()
	switch {
	case u.isMalformed:
		return ""
	case number > 0 && number <= int64(len(u.names)):
		return u.names[number-1]
	case number > 0:
		u.isMalformed = true
		return ""
	}
	length := int(u.bounded(maxNameBytes))
	if u.isMalformed || length > len(u.content) {
		u.isMalformed = true
		return ""
	}
	name := string(u.content[:length])
	u.content = u.content[length:]
	u.names = append(u.names, name)
	return name
}

func (u *unpacker) histogram() evidence.Histogram {
	first, length := u.bounded(maxHistogramBuckets), u.bounded(maxHistogramBuckets)
	if u.isMalformed || first+length > maxHistogramBuckets || length == 0 {
		return nil
	}
	counts := make(evidence.Histogram, first+length)
	for index := first; index < first+length && !u.isMalformed; index++ {
		counts[index] = u.count()
	}
	return counts
}
