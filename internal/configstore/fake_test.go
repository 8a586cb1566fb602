package configstore

import (
	"context"
	"sort"
	"strings"
	"time"

	"github.com/jujubeford/jujubeford/store"
)

// fault is a failure of one call to the fake store; zero means no failure.
type fault int

const (
	// unavailable means that the call fails and has no effect.
	unavailable fault = iota + 1
	// requestLost means that the call gets no response and has no effect.
	requestLost
	// responseLost means that the call takes effect but gets no response.
	responseLost
	// delayed means that the call gets no response and takes effect just before
	// the next call.
	delayed
)

// call is a kind of call to the fake store.
type call struct {
	op string
	// key is "head" for HeadKey and "part" for all others.
	key string
}

// fakeStore is an in-memory key-value service with fault injection.
type fakeStore struct {
	store.Store
	entries map[string]store.Entry
	// index is the modify index of the last write.
	index uint64
	// faults are the faults of the next calls, by kind of call.
	faults map[call][]fault
	// delayedEffect is the effect of a delayed write; nil if there is none.
	delayedEffect func()
	// beforeCall, if set, runs before each call.
	beforeCall func(call)
	// calls counts the calls by kind.
	calls map[call]int
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		entries: map[string]store.Entry{},
		faults:  map[call][]fault{},
		calls:   map[call]int{},
	}
}

// beginCall counts a call, applies a delayed write, runs the hook and returns the
// fault of the call, if any.
func (f *fakeStore) beginCall(op, key string) fault {
	c := call{op, "part"}
	if key == HeadKey {
		c.key = "head"
	}
	f.calls[c]++
	if effect := f.delayedEffect; effect != nil {
		f.delayedEffect = nil
		effect()
	}
	if hook := f.beforeCall; hook != nil {
		hook(c)
	}
	faults := f.faults[c]
	if len(faults) == 0 {
		return 0
	}
	f.faults[c] = faults[1:]
	return faults[0]
}

// write performs a write, subject to the next fault of its kind of call.
func (f *fakeStore) write(op, key string, effect func() bool) (bool, error) {
	switch f.beginCall(op, key) {
	case unavailable:
		return false, store.ErrUnavailable
	case requestLost:
		return false, store.ErrUnknown
	case responseLost:
		effect()
		return false, store.ErrUnknown
	case delayed:
		f.delayedEffect = func() { effect() }
		return false, store.ErrUnknown
	}
	return effect(), nil
}

func (f *fakeStore) Get(_ context.Context, key string) (store.Entry, error) {
	if f.beginCall("get", key) != 0 {
		return store.Entry{}, store.ErrUnavailable
	}
	entry, ok := f.entries[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return entry, nil
}

func (f *fakeStore) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (store.Entry, error) {
	return f.Get(ctx, key)
}

func (f *fakeStore) List(_ context.Context, prefix string) ([]store.Entry, error) {
	if f.beginCall("list", prefix) != 0 {
		return nil, store.ErrUnavailable
	}
	var out []store.Entry
	for key, entry := range f.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, entry)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, nil
}

func (f *fakeStore) CAS(_ context.Context, key string, value []byte, index uint64) (bool, error) {
	return f.write("cas", key, func() bool {
		if f.entries[key].Index != index {
			return false
		}
		f.index++
		f.entries[key] = store.Entry{Key: key, Value: value, Index: f.index}
		return true
	})
}

func (f *fakeStore) Delete(_ context.Context, key string, index uint64) (bool, error) {
	return f.write("delete", key, func() bool {
		if f.entries[key].Index != index {
			return false
		}
		delete(f.entries, key)
		return true
	})
}
