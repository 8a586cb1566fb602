package configstore

import (
	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/store"
)

// snapshot is the head in force with its modify index and its manifest. It is zero
// if no configuration was accepted yet.
type snapshot struct {
	head     Head
	index    uint64
	manifest Manifest
}

// readSnapshot reads the head and its manifest. It starts again when the manifest
// was deleted in between because newer generations were accepted.
func (s *submitter) readSnapshot() (snapshot, error) {
	for attempt := 1; ; attempt++ {
		current, err := s.tryReadSnapshot()
		notFound := errors.Is(err, store.ErrNotFound)
		if notFound && current.index == 0 {
			return snapshot{}, nil
		}
		if !notFound || attempt == maxReadAttempts {
			return current, err
		}
	}
}

// tryReadSnapshot reads the head and its manifest once. If the head was read, the
// result has its index in spite of an error.
func (s *submitter) tryReadSnapshot() (snapshot, error) {
	entry, err := s.store.Get(s.ctx, HeadKey)
	if err != nil {
		return snapshot{}, errors.Wrap(err, "read the head of the configuration")
	}
	current := snapshot{index: entry.Index}
	if current.head, err = DecodeHead(entry.Value); err != nil {
		return current, err
	}
	part, err := s.store.Get(s.ctx, PartPrefix+current.head.Manifest)
	if err != nil {
		return current, errors.Wrap(err, "read the manifest of the configuration")
	}
	current.manifest, err = decodeManifest(part.Value)
	return current, err
}

// findAccepted returns the accepted generation of a submission, if the head or the
// history in the manifest has it.
func (c snapshot) findAccepted(submission string) (Accepted, bool) {
	if c.head.Submission == submission {
		return c.head.Accepted, c.index != 0
	}
	for _, earlier := range c.manifest.Earlier {
		if earlier.Submission == submission {
			return earlier, true
		}
	}
	return Accepted{}, false
}

// deletionIndex returns the modify index at which a part may be deleted, if it is
// marked for deletion.
func (c snapshot) deletionIndex(digest string) (uint64, bool) {
	for _, part := range c.manifest.MarkedForDeletion {
		if part.Digest == digest {
			return part.Index, true
		}
	}
	return 0, false
}

// nextManifest returns the manifest of the generation that follows. stored holds
// the stored parts and manifests by digest.
func (c snapshot) nextManifest(parts []config.Part, stored map[string]store.Entry) Manifest {
	var m Manifest
	for _, part := range parts {
		m.Parts = append(m.Parts, part.Digest)
	}
	if c.index != 0 {
		m.Earlier = append([]Accepted{c.head.Accepted}, c.manifest.Earlier...)
	}
	if len(m.Earlier) > maxEarlier {
		m.Earlier = m.Earlier[:maxEarlier]
	}
	m.MarkedForDeletion = unreferencedParts(m, stored)
	return m
}

// unreferencedParts returns the stored parts that no kept generation references,
// at most maxMarkedParts. It returns none if the manifest of a kept generation
// cannot be decoded, because its parts are then unknown.
func unreferencedParts(m Manifest, stored map[string]store.Entry) []MarkedPart {
	referenced := make(map[string]bool, len(stored))
	for _, digest := range m.Parts {
		referenced[digest] = true
	}
	for _, earlier := range m.Earlier[:min(len(m.Earlier), keptGenerations-1)] {
		manifest, err := decodeManifest(stored[earlier.Manifest].Value)
		if err != nil {
			return nil
		}
		referenced[earlier.Manifest] = true
		for _, digest := range manifest.Parts {
			referenced[digest] = true
		}
	}
	var unreferenced []MarkedPart
	for _, digest := range sortedKeys(stored) {
		if !referenced[digest] && len(unreferenced) < maxMarkedParts {
			unreferenced = append(unreferenced, MarkedPart{Digest: digest, Index: stored[digest].Index})
		}
	}
	return unreferenced
}
