package claims

import (
	"fmt"

	"github.com/jujubeford/jujubeford/internal/core"
)

// fakeStore is a key-value service with compare-and-swap and a modify index that
// grows with each write. It counts reads, writes and takeovers.
type fakeStore struct {
	entries   map[string]entry
	lastIndex uint64
	reads     int
	writes    int
	// takeovers counts the claims that replaced another record.
	takeovers int
	// returnsIndex includes the new modify index in the result of a write.
	returnsIndex bool
}

type entry struct {
	value []byte
	index uint64
}

// opOf returns the operation id of a key-value effect.
func opOf(e core.Effect) core.OpID {
	switch e := e.(type) {
	case core.KVGet:
		return e.Op
	case core.KVCAS:
		return e.Op
	case core.KVDelete:
		return e.Op
	}
	panic(fmt.Sprintf("not a key-value effect: %T", e))
}

// execute carries out a key-value call.
func (s *fakeStore) execute(e core.Effect) core.KVResult {
	switch e := e.(type) {
	case core.KVGet:
		return s.get(e)
	case core.KVCAS:
		return s.cas(e)
	case core.KVDelete:
		return s.delete(e)
	}
	panic(fmt.Sprintf("not a key-value effect: %T", e))
}

func (s *fakeStore) get(e core.KVGet) core.KVResult {
	s.reads++
	found, ok := s.entries[e.Key]
	if !ok {
		return core.KVResult{Op: e.Op, Status: core.KVNotFound, Key: e.Key}
	}
	return core.KVResult{Op: e.Op, Status: core.KVOK, Key: e.Key, Value: found.value, Index: found.index}
}

func (s *fakeStore) cas(e core.KVCAS) core.KVResult {
	s.writes++
	if s.entries[e.Key].index != e.Index {
		return core.KVResult{Op: e.Op, Status: core.KVConflict, Key: e.Key}
	}
	if rec, err := decodeRecord(e.Value); err == nil && e.Index != 0 && rec.State == stateClaimed {
		s.takeovers++
	}
	s.lastIndex++
	s.entries[e.Key] = entry{e.Value, s.lastIndex}
	r := core.KVResult{Op: e.Op, Status: core.KVOK, Key: e.Key}
	if s.returnsIndex {
		r.Index = s.lastIndex
	}
	return r
}

func (s *fakeStore) delete(e core.KVDelete) core.KVResult {
	s.writes++
	if s.entries[e.Key].index != e.Index {
		return core.KVResult{Op: e.Op, Status: core.KVConflict, Key: e.Key}
	}
	s.lastIndex++
	delete(s.entries, e.Key)
	return core.KVResult{Op: e.Op, Status: core.KVOK, Key: e.Key}
}
