package mirror

import (
	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/store"
)

// entryBytes is the size of an entry in a piece besides its key and value, in bytes.
const entryBytes = 64

// errNoProgress means that a piece says that more follow, but has nothing to continue from.
var errNoProgress = errors.New("a piece of a copy is empty, but not the last one")

// Cursor is where a copy that is taken in pieces continues.
type Cursor struct {
	// At is the position that the copy has reached, or that of the list that is being taken.
	At store.Position
	// List means that the pieces are those of a list.
	List bool
	// Key is the last key that was taken, of the list or of the revision after At.
	Key string
}

// Piece is a part of a mirror: of the changes after a position, or of a list of all entries.
type Piece struct {
	// At is the position that a copy has reached with a piece of changes, or the position of
	// the mirror.
	At      store.Position
	List    bool
	Changes []store.Change
	Entries []store.Entry
	// More means that further pieces follow.
	More bool
}

// Piece returns the next piece for a copy, with at most maxBytes or a single entry. It is one
// of a list if the cursor is, or if the removals after the cursor are not known any more.
func (m *Mirror) Piece(c Cursor, maxBytes int) Piece {
	if !c.List {
		if changes, ok := m.ChangesSince(c.At); ok {
			return m.changesPiece(changes, c, maxBytes)
		}
		c.Key = ""
	}
	p := Piece{At: m.at, List: true}
	size := 0
	for _, e := range m.EntriesInStore() {
		if c.Key != "" && e.Key <= c.Key {
			continue
		}
		size += len(e.Key) + len(e.Value) + entryBytes
		if p.More = size > maxBytes && len(p.Entries) > 0; p.More {
			break
		}
		p.Entries = append(p.Entries, e)
	}
	return p
}

func (m *Mirror) changesPiece(changes []store.Change, c Cursor, maxBytes int) Piece {
	p := Piece{At: m.at}
	size := 0
	for _, change := range changes {
		if c.Key != "" && change.Index == c.At.Revision+1 && change.Key <= c.Key {
			continue
		}
		size += len(change.Key) + len(change.Value) + entryBytes
		if p.More = size > maxBytes && len(p.Changes) > 0; p.More {
			break
		}
		p.Changes = append(p.Changes, change)
	}
	if p.More {
		// The next piece may have further changes of the last revision.
		p.At.Revision = p.Changes[len(p.Changes)-1].Index - 1
	}
	return p
}

// Reader puts the pieces of a copy together.
type Reader struct {
	cursor Cursor
	listed []store.Entry
}

// NewReader returns a reader for a copy that has reached a position.
func NewReader(at store.Position) *Reader { return &Reader{cursor: Cursor{At: at}} }

// Cursor returns where the next piece begins.
func (r *Reader) Cursor() Cursor { return r.cursor }

// Take takes the next piece. It returns what can be applied by now: changes piece by piece,
// a list only as a whole. complete means that there is something to apply.
func (r *Reader) Take(p Piece) (apply Piece, complete bool, err error) {
	if p.More && len(p.Entries) == 0 && len(p.Changes) == 0 {
		return Piece{}, false, errNoProgress
	}
	if !p.List {
		if r.cursor.List {
			return Piece{}, false, errors.New("changes in place of the next piece of a list")
		}
		if p.More {
			r.cursor = Cursor{At: p.At, Key: p.Changes[len(p.Changes)-1].Key}
		}
		return p, true, nil
	}
	switch {
	case !r.cursor.List:
		r.cursor = Cursor{At: p.At, List: true}
	case r.cursor.At.Era != p.At.Era:
		return Piece{}, false, errors.Errorf("the list was begun in era %d and goes on in era %d", r.cursor.At.Era, p.At.Era)
	}
	r.listed = append(r.listed, p.Entries...)
	if p.More {
		r.cursor.Key = p.Entries[len(p.Entries)-1].Key
		return Piece{}, false, nil
	}
	// Changes that were made while the later pieces were read follow the first one.
	p.Entries, p.At, r.listed = r.listed, r.cursor.At, nil
	return p, true, nil
}
