package scenario

import (
	"crypto/sha256"
	"encoding/hex"
)

// digest is the form in which a configuration holds an API key.
func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
