package configstore

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/store"
)

// maxReadAttempts is how often a read is attempted when parts are deleted during
// it because newer generations were accepted.
const maxReadAttempts = 3

// Load reads the configuration in force. Generation 0 means that none was
// accepted yet.
func Load(ctx context.Context, store store.Store) (core.ConfigHead, error) {
	return NewReader(store).Read(ctx)
}

// Reader reads the configuration repeatedly. It keeps the last one that it read
// and fetches only parts that this one does not have. It is not safe for
// concurrent use.
type Reader struct {
	store store.Store
	// last is the configuration that was read last, lastHead its head and lastIndex the
	// modify index of that.
	last      core.ConfigHead
	lastIndex uint64
	lastHead  []byte
}

// NewReader returns a Reader that has not read a configuration yet.
func NewReader(store store.Store) *Reader {
	return &Reader{store: store}
}

// Read returns the configuration in force.
func (r *Reader) Read(ctx context.Context) (core.ConfigHead, error) {
	entry, err := r.store.Get(ctx, HeadKey)
	return r.readFromHead(ctx, entry, err)
}

// Watch waits until the head differs from the last one read, but at most for wait,
// and returns the configuration in force.
func (r *Reader) Watch(ctx context.Context, wait time.Duration) (core.ConfigHead, error) {
	entry, err := r.store.Watch(ctx, HeadKey, r.lastIndex, wait)
	return r.readFromHead(ctx, entry, err)
}

// readFromHead returns the configuration of a head, given the result of reading
// the head. It reads the head again when parts were deleted in between.
func (r *Reader) readFromHead(ctx context.Context, entry store.Entry, err error) (core.ConfigHead, error) {
	for attempt := 1; ; attempt++ {
		if errors.Is(err, store.ErrNotFound) {
			return core.ConfigHead{}, nil
		}
		if err != nil {
			return core.ConfigHead{}, errors.Wrap(err, "read the head of the configuration")
		}
		head, loadErr := r.loadHead(ctx, entry)
		if !errors.Is(loadErr, store.ErrNotFound) || attempt == maxReadAttempts {
			return head, loadErr
		}
		entry, err = r.store.Get(ctx, HeadKey)
	}
}

// loadHead fetches and decodes the configuration of one head, unless it is the
// last one read. A store that is restored from an older copy gives its index to another
// head.
func (r *Reader) loadHead(ctx context.Context, entry store.Entry) (core.ConfigHead, error) {
	if entry.Index == r.lastIndex && bytes.Equal(entry.Value, r.lastHead) && r.last.Config != nil {
		return r.last, nil
	}
	head, err := DecodeHead(entry.Value)
	if err != nil {
		return core.ConfigHead{}, err
	}
	parts, err := r.fetchParts(ctx, head)
	if err != nil {
		return core.ConfigHead{}, err
	}
	decoded, err := Decode(entry.Value, parts)
	if err != nil {
		return core.ConfigHead{}, err
	}
	r.last, r.lastIndex, r.lastHead = decoded, entry.Index, entry.Value
	return decoded, nil
}

// fetchParts returns the manifest and the parts of a head. It fetches only those
// that the last configuration does not have.
func (r *Reader) fetchParts(ctx context.Context, head Head) ([][]byte, error) {
	byDigest := make(map[string][]byte, len(r.last.Parts))
	for _, data := range r.last.Parts {
		byDigest[config.PartDigest(data)] = data
	}
	manifestData, err := r.fetchPart(ctx, byDigest, head.Manifest)
	if err != nil {
		return nil, err
	}
	manifest, err := decodeManifest(manifestData)
	if err != nil {
		return nil, err
	}
	parts := [][]byte{manifestData}
	for _, digest := range manifest.Parts {
		data, err := r.fetchPart(ctx, byDigest, digest)
		if err != nil {
			return nil, err
		}
		parts = append(parts, data)
	}
	return parts, nil
}

// fetchPart returns a part or manifest from byDigest, or else from the store.
func (r *Reader) fetchPart(ctx context.Context, byDigest map[string][]byte, digest string) ([]byte, error) {
	if data, ok := byDigest[digest]; ok {
		return data, nil
	}
	entry, err := r.store.Get(ctx, PartPrefix+digest)
	return entry.Value, errors.Wrapf(err, "read part %s of the configuration", digest)
}
