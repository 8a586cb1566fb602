package claims

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"

	"github.com/jujubeford/jujubeford/internal/core"
)

// keyPrefix is the prefix of all claims' keys in the key-value service.
const keyPrefix = "jujubeford/claims/"

// MaxAnswerBytes is the size of the largest answer that is kept for replay.
const MaxAnswerBytes = 64 << 10

// recordState is the state of the operation that a record is about.
type recordState string

const (
	// stateClaimed: an attempt may be in progress.
	stateClaimed recordState = "claimed"
	// stateDone: the operation ran and its status is recorded.
	stateDone recordState = "done"
	// stateMaybe: the request was sent, and it is unknown whether it ran.
	stateMaybe recordState = "failed-maybe"
)

// record is the stored form of a claim in the key-value service.
type record struct {
	Router core.RouterID `json:"router"`
	Nonce  string        `json:"nonce"`
	Body   string        `json:"body"`
	State  recordState   `json:"state"`
	Status int           `json:"status,omitempty"`
	// Answer is nil if the answer was too large to keep, by itself or together
	// with other pending ones; an empty answer is a pointer to an empty slice.
	Answer *[]byte `json:"answer,omitempty"`
}

// encode returns the record as JSON. This cannot fail, since a record holds only
// strings, numbers and bytes.
func (r *record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic("claims: cannot encode a record: " + err.Error())
	}
	return b
}

func decodeRecord(value []byte) (*record, error) {
	r := &record{}
	if err := json.Unmarshal(value, r); err != nil {
		return nil, err
	}
	return r, nil
}

// Key returns the key of an operation in the key-value service. The names are
// escaped and the idempotency key is hashed, so that different operations never
// share a key whatever characters they contain.
func Key(organisation, service, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(idempotencyKey))
	return keyPrefix + url.PathEscape(organisation) + "/" + url.PathEscape(service) + "/" + hex.EncodeToString(sum[:])
}
