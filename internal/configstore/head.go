package configstore

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
)

// The keys in the key-value service.
const (
	// HeadKey is the key of the Head.
	HeadKey = "jujubeford/config/head"
	// PartPrefix, followed by a digest, is the key of a part or manifest.
	PartPrefix = "jujubeford/config/parts/"
)

const (
	// keptGenerations is the number of newest generations whose parts are kept,
	// including the one in force.
	keptGenerations = 4
	// maxEarlier is the maximum length of a manifest's history.
	maxEarlier = 32
	// maxMarkedParts is the maximum number of parts that one submission marks and
	// deletes.
	maxMarkedParts = 512
)

// Accepted describes an accepted generation.
type Accepted struct {
	Generation uint64 `json:"generation"`
	// Digest is the digest of the configuration.
	Digest string `json:"digest"`
	// Submission is the name that the operator gave to the submission.
	Submission string `json:"submission"`
	// Manifest is the digest of the manifest.
	Manifest string `json:"manifest"`
}

// Head is the value of HeadKey. It describes the generation in force.
type Head struct {
	Accepted
}

// Manifest lists the parts of a generation and the generations before it.
type Manifest struct {
	// Parts are the digests of the parts, in order.
	Parts []string `json:"parts"`
	// Earlier are the generations before this one, newest first.
	Earlier []Accepted `json:"earlier,omitempty"`
	// MarkedForDeletion are parts that may be deleted at any time from now on.
	MarkedForDeletion []MarkedPart `json:"condemned,omitempty"`
}

// MarkedPart is a part or manifest that is marked for deletion.
type MarkedPart struct {
	Digest string `json:"digest"`
	// Index is the modify index at which the part may be deleted. If the part has
	// another index, it was written again and must be kept.
	Index uint64 `json:"index"`
}

// DecodeHead decodes a head and checks that it names a generation and a manifest.
func DecodeHead(data []byte) (Head, error) {
	var head Head
	if err := decodeJSON(data, &head); err != nil {
		return Head{}, errors.Wrap(err, "decode the head of the configuration")
	}
	if head.Generation == 0 || head.Manifest == "" {
		return Head{}, errors.New("decode the head of the configuration: no generation or manifest")
	}
	return head, nil
}

func decodeManifest(data []byte) (Manifest, error) {
	var m Manifest
	err := decodeJSON(data, &m)
	return m, errors.Wrap(err, "decode the manifest of the configuration")
}

// decodeJSON decodes JSON and rejects unknown fields.
func decodeJSON(data []byte, out any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	return dec.Decode(out)
}

// encodeJSON encodes a head or manifest, which cannot fail.
func encodeJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "encode a head or manifest"))
	}
	return data
}

// Decode checks and decodes a configuration from its stored bytes: the head and,
// in any order, its manifest and parts. The bytes may come from a peer.
func Decode(head []byte, parts [][]byte) (core.ConfigHead, error) {
	h, err := DecodeHead(head)
	if err != nil {
		return core.ConfigHead{}, err
	}
	parts, err = Assemble(h, parts)
	if err != nil {
		return core.ConfigHead{}, err
	}
	cfg, err := joinParts(parts)
	if err != nil {
		return core.ConfigHead{}, err
	}
	return core.ConfigHead{Generation: h.Generation, Digest: h.Digest, Config: cfg, Head: head, Parts: parts}, nil
}

// Assemble selects the manifest and the parts of a head from pools of parts and
// manifests, by their digests. It returns the manifest and then the parts in
// order, or an error if one is missing.
func Assemble(head Head, pools ...[][]byte) ([][]byte, error) {
	byDigest := make(map[string][]byte)
	for _, pool := range pools {
		for _, data := range pool {
			byDigest[config.PartDigest(data)] = data
		}
	}
	manifestData, ok := byDigest[head.Manifest]
	if !ok {
		return nil, errors.Errorf("generation %d: the manifest is missing", head.Generation)
	}
	manifest, err := decodeManifest(manifestData)
	if err != nil {
		return nil, err
	}
	parts := [][]byte{manifestData}
	for _, digest := range manifest.Parts {
		data, ok := byDigest[digest]
		if !ok {
			return nil, errors.Errorf("generation %d: part %s is missing", head.Generation, digest)
		}
		parts = append(parts, data)
	}
	return parts, nil
}

// joinParts decodes the parts that follow the manifest, which is parts[0].
func joinParts(parts [][]byte) (*config.Config, error) {
	list := make([]config.Part, 0, len(parts))
	for _, data := range parts[1:] {
		list = append(list, config.Part{Digest: config.PartDigest(data), Data: data})
	}
	return config.Join(list)
}
