package claims

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"

	"github.com/jujubeford/jujubeford/internal/core"
)

// keyPrefix is where claims stand in the key-value service.
const keyPrefix = "jujubeford/claims/"

// MaxAnswerBytes is the largest answer that is kept for a replay, in bytes.
const MaxAnswerBytes = 64 << 10

// recordState is how far the operation of a record has come.
type recordState string

const (
	// stateClaimed: the attempt may be under way.
	stateClaimed recordState = "claimed"
	// stateDone: the operation ran and its status is recorded.
	stateDone recordState = "done"
	// stateMaybe: the request was sent, and nobody knows whether it ran.
	stateMaybe recordState = "failed-maybe"
)

// record is a claim as it stands in the key-value service.
type record struct {
	Router core.RouterID `json:"router"`
	Nonce  string        `json:"nonce"`
	Body   string        `json:"body"`
	State  recordState   `json:"state"`
	Status int           `json:"status,omitempty"`
	// Answer is absent if it was too large; an empty one is kept as such.
	Answer *[]byte `json:"answer,omitempty"`
}

// encode cannot fail: a record holds strings, numbers and bytes only.
func (r *record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic("claims: record does not encode: " + err.Error())
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

// Key names an operation in the key-value service. No two operations share one,
// whatever the names hold.
func Key(organisation, service, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(idempotencyKey))
	return keyPrefix + url.PathEscape(organisation) + "/" + url.PathEscape(service) + "/" + hex.EncodeToString(sum[:])
}
