package gateway

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/poison"
)

// scope says whose load a datagram reports.
type scope uint64

const (
	// scopeRouter is the sender's own load, scopeDomain the sum of its failure domain
	// and scopeElsewhere the sum of the other ones.
	scopeRouter scope = iota
	scopeDomain
	scopeElsewhere
)

// datagram is a report of one router to another, encoded in protobuf's wire format.
type datagram struct {
	// addr is the sender's peer address. incarnation identifies the sender's process
	// among those that have used the address.
	addr        string
	incarnation uint64
	// serial increases with each datagram of an incarnation.
	serial uint64
	// config is the version of the configuration in force at the sender, and era and
	// lastChange the position of the last change in its copy of the store's keys. Earlier
	// builds send no era.
	config, era, lastChange uint64
	// domain is the sender's failure domain.
	domain string
	scope  scope
	// storeLost means that the store does not answer the sender, and leaving that the
	// sender is stopping.
	storeLost, leaving bool
	// staleness is the time since which the sender's copy of the store's keys is not known to
	// be current, 0 if the sender does not say, as earlier builds.
	staleness time.Duration
	// listing means that the sender is listing the store's keys: its copy may be stale although
	// the store answers.
	listing bool
	// spare is the processor time that the sender can spend on connections of other
	// routers, in cores, and offloadPort the port at which it takes them; 0 if it takes
	// none.
	spare       float64
	offloadPort uint16
	// members is the number of routers whose reports a sum contains. applied is the
	// serial number of the receiver's report in it, 0 if there is none, and watch tells
	// the receiver to watch the store.
	members int
	applied uint64
	watch   bool
	// encoded is the report of a received datagram, in the encoding of appendReport.
	encoded encodedReport
}

// encodedReport has the sections of an encoded report: sequences of varints.
type encodedReport struct {
	loads, usage, placements, contended, crashes, limits, leaving, cold, speeds []byte
}

// The field numbers of a datagram. Numbers 7 to 10 and 12 had other encodings; 26 was the port
// of connections that are passed on without a handshake (see offload_handshake.go).
const (
	fieldAddr        protowire.Number = 1
	fieldIncarnation protowire.Number = 2
	fieldSerial      protowire.Number = 3
	fieldConfig      protowire.Number = 4
	fieldLastChange  protowire.Number = 5
	fieldLeaving     protowire.Number = 6
	fieldDomain      protowire.Number = 11
	fieldStoreLost   protowire.Number = 13
	fieldScope       protowire.Number = 14
	fieldMembers     protowire.Number = 15
	fieldApplied     protowire.Number = 16
	fieldWatch       protowire.Number = 17
	fieldLoads       protowire.Number = 18
	fieldUsage       protowire.Number = 19
	fieldPlacements  protowire.Number = 20
	fieldContended   protowire.Number = 21
	fieldCrashes     protowire.Number = 22
	fieldLimits      protowire.Number = 23
	fieldEra         protowire.Number = 24
	fieldSpare       protowire.Number = 25
	fieldRunsLeaving protowire.Number = 27
	fieldOffloadPort protowire.Number = 32
	fieldStaleness   protowire.Number = 33
	fieldListing     protowire.Number = 34
)

// chargeScale, limitScale and spareScale are the factors by which charges, limits and spare
// processor time are multiplied to be sent as integers.
const (
	chargeScale = 1e5
	limitScale  = 1e3
	spareScale  = 1e4
)

var errDatagram = errors.New("malformed datagram")

func appendNumber(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	b = protowire.AppendTag(b, field, protowire.VarintType)
	return protowire.AppendVarint(b, v)
}

func boolToUint(v bool) uint64 {
	if v {
		return 1
	}
	return 0
}

// encode appends the encoded header and the report to b.
func (d *datagram) encode(b []byte, r dispatch.Report) []byte {
	b = protowire.AppendTag(b, fieldAddr, protowire.BytesType)
	b = protowire.AppendString(b, d.addr)
	b = appendNumber(b, fieldIncarnation, d.incarnation)
	b = appendNumber(b, fieldSerial, d.serial)
	b = appendNumber(b, fieldConfig, d.config)
	b = appendNumber(b, fieldLastChange, d.lastChange)
	b = appendNumber(b, fieldEra, d.era)
	b = protowire.AppendTag(b, fieldDomain, protowire.BytesType)
	b = protowire.AppendString(b, d.domain)
	b = appendNumber(b, fieldScope, uint64(d.scope))
	b = appendNumber(b, fieldStoreLost, boolToUint(d.storeLost))
	b = appendNumber(b, fieldLeaving, boolToUint(d.leaving))
	b = appendNumber(b, fieldSpare, uint64(spareScale*d.spare))
	b = appendNumber(b, fieldOffloadPort, uint64(d.offloadPort))
	b = appendNumber(b, fieldMembers, uint64(d.members))
	b = appendNumber(b, fieldStaleness, uint64(d.staleness.Milliseconds()))
	b = appendNumber(b, fieldListing, boolToUint(d.listing))
	return appendReport(b, r)
}

// appendReceiver appends the fields that differ between the receivers of a sum.
func (d *datagram) appendReceiver(b []byte) []byte {
	b = appendNumber(b, fieldApplied, d.applied)
	return appendNumber(b, fieldWatch, boolToUint(d.watch))
}

// appendReport appends the sections of a report. Keys have four bytes, since they are
// hashes; other numbers are varints.
func appendReport(b []byte, r dispatch.Report) []byte {
	section := make([]byte, 0, 16*(len(r.Loads)+len(r.Usage)+len(r.Placements)))
	for key, l := range r.Loads {
		section = binary.LittleEndian.AppendUint32(section, key)
		section = appendVarints(section, uint64(l.Running), uint64(max(0, l.Prefill)), uint64(l.Memory), uint64(l.DecodeAttempts))
	}
	b = appendSection(b, fieldLoads, section)
	section = section[:0]
	for key, u := range r.Usage {
		section = binary.LittleEndian.AppendUint32(section, key)
		section = appendVarints(section, uint64(u.Demand), uint64(u.Started), uint64(chargeScale*u.Charged))
	}
	b = appendSection(b, fieldUsage, section)
	section = section[:0]
	for _, p := range r.Placements {
		section = binary.LittleEndian.AppendUint32(section, p.Upstream)
		section = binary.LittleEndian.AppendUint64(section, p.Part.ID)
		section = appendVarints(section, uint64(p.Part.Tokens)<<1|boolToUint(p.Read))
	}
	b = appendSection(b, fieldPlacements, section)
	section = section[:0]
	for _, key := range r.Contended {
		section = binary.LittleEndian.AppendUint32(section, key)
	}
	b = appendSection(b, fieldContended, section)
	section = section[:0]
	for _, f := range r.Crashes {
		section = binary.LittleEndian.AppendUint64(section, f.Trait.ID)
		section = binary.LittleEndian.AppendUint64(section, uint64(f.Run))
		section = binary.LittleEndian.AppendUint64(section, f.Before)
		section = appendVarints(section, uint64(f.Kind)<<1|boolToUint(f.Proven), uint64(f.Trait.Kind), uint64(f.Left/time.Second))
	}
	b = appendSection(b, fieldCrashes, section)
	section = section[:0]
	for key, l := range r.Limits {
		section = binary.LittleEndian.AppendUint32(section, key)
		section = appendVarints(section, uint64(limitScale*l.PerSecond), uint64(l.Age/time.Millisecond))
	}
	b = appendSection(b, fieldLimits, section)
	section = section[:0]
	for _, run := range r.Leaving {
		section = binary.LittleEndian.AppendUint64(section, run)
	}
	b = appendCold(appendSection(b, fieldRunsLeaving, section), r)
	return appendSpeeds(b, r.Speeds)
}

func appendSection(b []byte, field protowire.Number, section []byte) []byte {
	if len(section) == 0 {
		return b
	}
	b = protowire.AppendTag(b, field, protowire.BytesType)
	return protowire.AppendBytes(b, section)
}

func appendVarints(b []byte, values ...uint64) []byte {
	for _, v := range values {
		b = binary.AppendUvarint(b, v)
	}
	return b
}

// decode parses a datagram's header. Unknown fields are skipped. The report refers to b.
func decode(b []byte) (*datagram, error) {
	d := &datagram{}
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
			d.setBytes(field, v)
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
	case fieldEra:
		d.era = v
	case fieldScope:
		d.scope = scope(v)
	case fieldStoreLost:
		d.storeLost = v != 0
	case fieldLeaving:
		d.leaving = v != 0
	case fieldMembers:
		d.members = int(min(v, maxMembers))
	case fieldSpare:
		d.spare = float64(min(v, maxSpare)) / spareScale
	case fieldOffloadPort:
		if v <= math.MaxUint16 {
			d.offloadPort = uint16(v)
		}
	case fieldStaleness:
		d.staleness = fromMilliseconds(v)
	case fieldListing:
		d.listing = v != 0
	case fieldApplied:
		d.applied = v
	case fieldWatch:
		d.watch = v != 0
	}
}

// maxMembers bounds the number of routers in a sum, and maxSpare a router's spare processor
// time, in units of 1/spareScale cores.
const (
	maxMembers = 1 << 20
	maxSpare   = 1 << 24
)

func (d *datagram) setBytes(field protowire.Number, b []byte) {
	switch field {
	case fieldAddr:
		d.addr = string(b)
	case fieldDomain:
		d.domain = string(b)
	case fieldLoads:
		d.encoded.loads = b
	case fieldUsage:
		d.encoded.usage = b
	case fieldPlacements:
		d.encoded.placements = b
	case fieldContended:
		d.encoded.contended = b
	case fieldCrashes:
		d.encoded.crashes = b
	case fieldLimits:
		d.encoded.limits = b
	case fieldRunsLeaving:
		d.encoded.leaving = b
	case fieldCold:
		d.encoded.cold = b
	case fieldSpeeds:
		d.encoded.speeds = b
	}
}

// Sizes of the shortest entries of the sections, in bytes, from which the number of
// entries is estimated.
const (
	minLoadBytes  = 10
	minUsageBytes = 9
)

// decode parses the sections of a report.
func (e encodedReport) decode() (dispatch.Report, error) {
	r := dispatch.Report{
		Loads:  make(map[uint32]dispatch.Load, len(e.loads)/minLoadBytes),
		Usage:  make(map[uint32]dispatch.Usage, len(e.usage)/minUsageBytes),
		Limits: make(map[uint32]dispatch.Limit),
	}
	in := sectionReader{b: e.loads}
	for in.more() {
		key := in.key()
		r.Loads[key] = dispatch.Load{
			Running: int(in.number()), Prefill: int(in.number()), Memory: int(in.number()), DecodeAttempts: int(in.number()),
		}
	}
	failed := in.failed
	in = sectionReader{b: e.usage}
	for in.more() {
		key := in.key()
		r.Usage[key] = dispatch.Usage{
			Demand: float64(in.number()), Started: float64(in.number()), Charged: float64(in.number()) / chargeScale,
		}
	}
	failed = failed || in.failed
	in = sectionReader{b: e.placements}
	for in.more() {
		p := dispatch.Placement{Upstream: in.key(), Part: dispatch.Part{ID: in.id()}}
		v := in.number()
		p.Part.Tokens, p.Read = int(v>>1), v&1 != 0
		r.Placements = append(r.Placements, p)
	}
	failed = failed || in.failed
	in = sectionReader{b: e.contended}
	for in.more() {
		r.Contended = append(r.Contended, in.key())
	}
	failed = failed || in.failed
	in = sectionReader{b: e.crashes}
	for in.more() {
		f := poison.Fact{Trait: poison.Trait{ID: in.id()}, Run: poison.RunID(in.id()), Before: in.id()}
		kind := in.number()
		f.Kind, f.Proven = poison.FactKind(kind>>1), kind&1 != 0
		f.Trait.Kind = poison.Kind(in.number())
		f.Left = time.Duration(min(in.number(), maxSecondsLeft)) * time.Second
		r.Crashes = append(r.Crashes, f)
	}
	failed = failed || in.failed
	in = sectionReader{b: e.limits}
	for in.more() {
		key := in.key()
		r.Limits[key] = dispatch.Limit{
			PerSecond: float64(in.number()) / limitScale,
			Age:       time.Duration(min(in.number(), maxMillisecondsAge)) * time.Millisecond,
		}
	}
	failed = failed || in.failed
	in = sectionReader{b: e.leaving}
	for in.more() {
		r.Leaving = append(r.Leaving, in.id())
	}
	speeds, err := decodeSpeeds(e.speeds)
	if !decodeCold(e.cold, &r) || failed || in.failed || err != nil {
		return dispatch.Report{}, errDatagram
	}
	r.Speeds = speeds
	return r, nil
}

// maxMillisecondsAge bounds the age of a limit that a datagram may name.
const maxMillisecondsAge = 1 << 40

// maxSecondsLeft bounds the time of a block that a datagram may name.
const maxSecondsLeft = 1 << 20

// sectionReader reads the numbers of a section. After an error it returns zeros.
type sectionReader struct {
	b      []byte
	failed bool
}

func (s *sectionReader) more() bool { return len(s.b) > 0 && !s.failed }

// take returns the next n bytes, or nil if there are fewer.
func (s *sectionReader) take(n int) []byte {
	if len(s.b) < n {
		s.failed = true
		return nil
	}
	taken := s.b[:n]
	s.b = s.b[n:]
	return taken
}

func (s *sectionReader) key() uint32 {
	if b := s.take(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (s *sectionReader) id() uint64 {
	if b := s.take(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (s *sectionReader) number() uint64 {
	v, n := binary.Uvarint(s.b)
	if n <= 0 {
		s.failed = true
		return 0
	}
	s.b = s.b[n:]
	return v
}
