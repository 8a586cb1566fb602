package configstore

import (
	"context"
	"maps"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/store"
)

func TestReaderFetchesOnlyMissingParts(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	fake := newFakeStore()
	reader := NewReader(fake)
	none, err := reader.Read(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(none.Generation).To(BeZero())

	_, err = submit(fake, 10, 0, "first")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = reader.Read(ctx)
	g.Expect(err).NotTo(HaveOccurred())

	partGet := call{"get", "part"}
	fake.calls[partGet] = 0
	_, err = reader.Read(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(fake.calls[partGet]).To(BeZero())

	_, err = submit(fake, 20, 1, "second")
	g.Expect(err).NotTo(HaveOccurred())
	fake.calls[partGet] = 0
	head, err := reader.Watch(ctx, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(head.Generation).To(Equal(uint64(2)))
	g.Expect(fake.calls[partGet]).To(Equal(2), "the manifest and the changed part")
}

// A restored store gives the index of a lost head to the next one.
func TestReaderTellsHeadsOfOneIndexApart(t *testing.T) {
	g := NewWithT(t)
	ctx, fake := context.Background(), newFakeStore()
	entries := maps.Clone(fake.entries)
	index := fake.index
	_, err := submit(fake, 10, 0, "lost")
	g.Expect(err).NotTo(HaveOccurred())
	reader := NewReader(fake)
	lost, err := reader.Read(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	lostAt := fake.entries[HeadKey].Index
	fake.entries, fake.index = entries, index
	_, err = submit(fake, 20, 0, "written again")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(fake.entries[HeadKey].Index).To(Equal(lostAt))
	head, err := reader.Read(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(head.Parts).NotTo(Equal(lost.Parts))
}

func TestReadDuringOutage(t *testing.T) {
	g := NewWithT(t)
	fake := newFakeStore()
	fake.faults[call{"get", "head"}] = []fault{unavailable}
	_, err := Load(context.Background(), fake)
	g.Expect(err).To(MatchError(store.ErrUnavailable))
}

// TestReadRestartsWhenPartsAreDeleted checks that a read starts again with the new
// head if the parts of the head that it has read are deleted. Before it fetches the
// first part, more than keptGenerations newer generations are accepted, whose
// submissions delete the parts.
func TestReadRestartsWhenPartsAreDeleted(t *testing.T) {
	g := NewWithT(t)
	fake := newFakeStore()
	_, err := submit(fake, 10, 0, "first")
	g.Expect(err).NotTo(HaveOccurred())
	fake.beforeCall = func(c call) {
		if c != (call{"get", "part"}) {
			return
		}
		fake.beforeCall = nil
		for i := range 6 {
			_, err := submit(fake, 11+i, uint64(i+1), string(rune('a'+i)))
			g.Expect(err).NotTo(HaveOccurred())
		}
	}
	generation, share := inForce(t, fake)
	g.Expect(generation).To(Equal(uint64(7)))
	g.Expect(share).To(Equal(16))
}

func TestDecodeRejectsInvalidPeerData(t *testing.T) {
	fake := newFakeStore()
	if _, err := submit(fake, 10, 0, "first"); err != nil {
		t.Fatal(err)
	}
	head, err := Load(context.Background(), fake)
	if err != nil {
		t.Fatal(err)
	}
	damaged := append([]byte(nil), head.Parts[1]...)
	damaged[0] ^= 1
	tests := []struct {
		name  string
		head  []byte
		parts [][]byte
		want  string
	}{
		{"whole", head.Head, head.Parts, ""},
		{"no head", nil, head.Parts, "head of the configuration"},
		{"unknown field in the head", []byte(`{"generation":1,"manifest":"a","more":1}`), head.Parts, "unknown field"},
		{"generation 0", []byte(`{"manifest":"a"}`), head.Parts, "no generation"},
		{"no manifest", head.Head, head.Parts[1:], "the manifest is missing"},
		{"part missing", head.Head, head.Parts[:2], "is missing"},
		{"part damaged", head.Head, [][]byte{head.Parts[0], damaged, head.Parts[2]}, "is missing"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			decoded, err := Decode(test.head, test.parts)
			if test.want != "" {
				g.Expect(err).To(MatchError(ContainSubstring(test.want)))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(decoded.Config).To(Equal(head.Config))
		})
	}
}
