package configstore

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
)

// The layout in the key-value service.
const (
	// HeadKey holds the Head.
	HeadKey = "jujubeford/config/head"
	// PartPrefix is followed by the digest of a part or manifest.
	PartPrefix = "jujubeford/config/parts/"
)

const (
	// keptGenerations is how many generations keep their parts, the newest
	// included.
	keptGenerations = 4
	// maxEarlier is how many accepted submissions a manifest remembers.
	maxEarlier = 32
	// maxMarkedParts bounds the parts that one submission deletes.
	maxMarkedParts = 512
)

// Accepted describes an accepted generation.
type Accepted struct {
	Generation uint64 `json:"generation"`
	// Digest is the digest of the configuration.
	Digest string `json:"digest"`
	// Submission is the operator's name for the submission.
	Submission string `json:"submission"`
	// Manifest is the digest of the manifest.
	Manifest string `json:"manifest"`
}

// Head is the value of HeadKey: the generation in force.
type Head struct {
	Accepted
}

// Manifest lists the parts of a generation.
type Manifest struct {
	Parts []string `json:"parts"`
	// Earlier are the generations before this one, newest first.
	Earlier []Accepted `json:"earlier,omitempty"`
	// MarkedForDeletion are parts that may be deleted at any time.
	MarkedForDeletion []MarkedPart `json:"condemned,omitempty"`
}

// MarkedPart is a part that may be deleted as long as it has this modify index.
type MarkedPart struct {
	Digest string `json:"digest"`
	Index  uint64 `json:"index"`
}

// DecodeHead reads a head.
func DecodeHead(data []byte) (Head, error) {
	var head Head
	if err := decodeJSON(data, &head); err != nil {
		return Head{}, errors.Wrap(err, "head of the configuration")
	}
	if head.Generation == 0 || head.Manifest == "" {
		return Head{}, errors.New("head of the configuration: no generation or manifest")
	}
	return head, nil
}

func decodeManifest(data []byte) (Manifest, error) {
	var m Manifest
	err := decodeJSON(data, &m)
	return m, errors.Wrap(err, "manifest of the configuration")
}

func decodeJSON(data []byte, out any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	return dec.Decode(out)
}

func encodeJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "encode a head or manifest"))
	}
	return data
}

// Decode checks and decodes what a peer sent: a head, its manifest and its
// parts in order.
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

// Assemble picks the manifest and the parts of a head, in order, out of pools
// of parts. It fails when one is missing.
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

// joinParts decodes the parts behind a manifest.
func joinParts(parts [][]byte) (*config.Config, error) {
	list := make([]config.Part, 0, len(parts))
	for _, data := range parts[1:] {
		list = append(list, config.Part{Digest: config.PartDigest(data), Data: data})
	}
	return config.Join(list)
}
