package catalog

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"mustardsaddle.example/mustardsaddle"
)

// digestRules returns a digest of a rules file, by its generation and the digest of its lines; 0
// if there is none.
func digestRules(generation int64, lines uint64) uint64 {
	if generation == 0 {
		return 0
	}
	b := binary.BigEndian.AppendUint64(nil, uint64(generation))
	return nonZero(xxhash.Sum64(binary.BigEndian.AppendUint64(b, lines)))
}

// digestMachines returns a digest of the listed VMs, which are ordered by name.
func digestMachines(machines []mustardsaddle.Machine) uint64 {
	d := xxhash.New()
	var b []byte
	for _, m := range machines {
		b = b[:0]
		for _, text := range []string{m.Name, m.Zone, m.Service, m.Address} {
			b = append(strconv.AppendQuote(b, text), ',')
		}
		for _, n := range []int64{m.Incarnation, int64(m.Slots), int64(m.Connections), int64(m.WarmUp)} {
			b = append(strconv.AppendInt(b, n, 10), ',')
		}
		_, _ = d.Write(strconv.AppendBool(b, m.Leaving))
	}
	return nonZero(d.Sum64())
}

// digestEvacuations returns a digest of the listed evacuations, which are ordered by zone.
func digestEvacuations(listed []mustardsaddle.Evacuation) uint64 {
	var b []byte
	for _, e := range listed {
		b = append(strconv.AppendQuote(b, e.Zone), ',')
	}
	return nonZero(xxhash.Sum64(b))
}

// nonZero replaces the digest 0, which means that the content is unknown.
func nonZero(digest uint64) uint64 {
	return max(digest, 1)
}
