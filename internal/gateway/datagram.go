package gateway

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/jujubeford/jujubeford/internal/dispatch"
)

// datagram is a report of one router to another, encoded in protobuf's wire format.
type datagram struct {
	// addr is the sender's peer address. incarnation identifies the sender's process
	// among those that have used the address.
	addr        string
	incarnation uint64
	// serial increases with each datagram of an incarnation.
	serial uint64
	// config is the version of the configuration in force at the sender, and lastChange
	// the revision of the last change in its copy of the store's keys.
	config, lastChange uint64
	// domain is the sender's failure domain.
	domain string
	// wholeDomain means that the report sums up all routers of the sender's failure
	// domain.
	wholeDomain bool
	// storeLost means that the store does not answer the sender, and leaving that the
	// sender is stopping.
	storeLost, leaving bool
	report             dispatch.Report
}

// The field numbers of a datagram. Loads, usages and placements are nested messages
// with varint fields 1, 2, ...
const (
	fieldAddr protowire.Number = iota + 1
	fieldIncarnation
	fieldSerial
	fieldConfig
	fieldLastChange
	fieldLeaving
	fieldLoad
	fieldUsage
	fieldPlacement
	fieldContended
	fieldDomain
	fieldWholeDomain
	fieldStoreLost
)

// chargeScale is the factor by which charges are multiplied to be sent as integers.
const chargeScale = 1e5

var errDatagram = errors.New("malformed datagram")

// appendNumbers appends a field that holds a message of varint fields 1, 2, ...
func appendNumbers(b []byte, field protowire.Number, values ...uint64) []byte {
	var inner []byte
	for i, v := range values {
		if v != 0 {
			inner = protowire.AppendTag(inner, protowire.Number(i+1), protowire.VarintType)
			inner = protowire.AppendVarint(inner, v)
		}
	}
	b = protowire.AppendTag(b, field, protowire.BytesType)
	return protowire.AppendBytes(b, inner)
}

func appendNumber(b []byte, field protowire.Number, v uint64) []byte {
	b = protowire.AppendTag(b, field, protowire.VarintType)
	return protowire.AppendVarint(b, v)
}

func boolToUint(v bool) uint64 {
	if v {
		return 1
	}
	return 0
}

// encode appends the encoded datagram to b.
func (d *datagram) encode(b []byte) []byte {
	b = protowire.AppendTag(b, fieldAddr, protowire.BytesType)
	b = protowire.AppendString(b, d.addr)
	b = appendNumber(b, fieldIncarnation, d.incarnation)
	b = appendNumber(b, fieldSerial, d.serial)
	b = appendNumber(b, fieldConfig, d.config)
	b = appendNumber(b, fieldLastChange, d.lastChange)
	b = protowire.AppendTag(b, fieldDomain, protowire.BytesType)
	b = protowire.AppendString(b, d.domain)
	b = appendNumber(b, fieldWholeDomain, boolToUint(d.wholeDomain))
	b = appendNumber(b, fieldStoreLost, boolToUint(d.storeLost))
	b = appendNumber(b, fieldLeaving, boolToUint(d.leaving))
	for key, l := range d.report.Loads {
		b = appendNumbers(b, fieldLoad, uint64(key), uint64(l.Running), uint64(l.Prefill), uint64(l.Memory), uint64(l.DecodeAttempts))
	}
	for key, u := range d.report.Usage {
		b = appendNumbers(b, fieldUsage, uint64(key), uint64(u.Demand), uint64(u.Started), uint64(chargeScale*u.Charged))
	}
	for _, key := range d.report.Contended {
		b = appendNumber(b, fieldContended, uint64(key))
	}
	for _, p := range d.report.Placements {
		b = appendNumbers(b, fieldPlacement, uint64(p.Upstream), p.Part.ID, uint64(p.Part.Tokens), boolToUint(p.Read))
	}
	return b
}

// decode parses a datagram. Unknown fields are skipped.
func decode(b []byte) (*datagram, error) {
	d := &datagram{report: dispatch.Report{
		Loads: make(map[uint32]dispatch.Load), Usage: make(map[uint32]dispatch.Usage),
	}}
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return nil, errDatagram
		}
		b = b[n:]
		switch kind {
		case protowire.VarintType:
			v, n := protowire.ConsumeVarint(b)
			if n < 0 {
				return nil, errDatagram
			}
			d.setNumber(field, v)
			b = b[n:]
		case protowire.BytesType:
			v, n := protowire.ConsumeBytes(b)
			if n < 0 {
				return nil, errDatagram
			}
			if err := d.setBytes(field, v); err != nil {
				return nil, err
			}
			b = b[n:]
		default:
			if n = protowire.ConsumeFieldValue(field, kind, b); n < 0 {
				return nil, errDatagram
			}
			b = b[n:]
		}
	}
	if d.addr == "" {
		return nil, errDatagram
	}
	return d, nil
}

func (d *datagram) setNumber(field protowire.Number, v uint64) {
	switch field {
	case fieldIncarnation:
		d.incarnation = v
	case fieldSerial:
		d.serial = v
	case fieldConfig:
		d.config = v
	case fieldLastChange:
		d.lastChange = v
	case fieldWholeDomain:
		d.wholeDomain = v != 0
	case fieldStoreLost:
		d.storeLost = v != 0
	case fieldContended:
		d.report.Contended = append(d.report.Contended, uint32(v))
	case fieldLeaving:
		d.leaving = v != 0
	}
}

func (d *datagram) setBytes(field protowire.Number, b []byte) error {
	switch field {
	case fieldAddr:
		d.addr = string(b)
		return nil
	case fieldDomain:
		d.domain = string(b)
		return nil
	}
	var v [5]uint64
	if err := readNumbers(b, v[:]); err != nil {
		return err
	}
	switch field {
	case fieldLoad:
		d.report.Loads[uint32(v[0])] = dispatch.Load{Running: int(v[1]), Prefill: int(v[2]), Memory: int(v[3]), DecodeAttempts: int(v[4])}
	case fieldUsage:
		d.report.Usage[uint32(v[0])] = dispatch.Usage{
			Demand: float64(v[1]), Started: float64(v[2]), Charged: float64(v[3]) / chargeScale,
		}
	case fieldPlacement:
		d.report.Placements = append(d.report.Placements, dispatch.Placement{
			Upstream: uint32(v[0]), Part: dispatch.Part{ID: v[1], Tokens: int(v[2])}, Read: v[3] != 0,
		})
	}
	return nil
}

// readNumbers decodes varint fields 1, 2, ... into values.
func readNumbers(b []byte, values []uint64) error {
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 || kind != protowire.VarintType {
			return errDatagram
		}
		b = b[n:]
		v, n := protowire.ConsumeVarint(b)
		if n < 0 {
			return errDatagram
		}
		b = b[n:]
		if field >= 1 && int(field) <= len(values) {
			values[field-1] = v
		}
	}
	return nil
}
