package kv

import (
	"context"
	"time"
)

// catalogTopic is the topic of the instance list. The zero byte makes it an
// invalid key.
const catalogTopic = "\x00catalog"

// wait blocks until changed returns true, the timeout is over, the indexes are
// renumbered, or ctx is done.
func (s *state) wait(ctx context.Context, topic string, timeout time.Duration, changed func() bool) {
	woken, stop := s.subscribe(topic)
	defer stop()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	epoch := s.currentEpoch()
	for !changed() && s.currentEpoch() == epoch {
		select {
		case <-woken:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// subscribe returns a channel that receives a value when the topic changes, and a
// function that ends the subscription.
func (s *state) subscribe(topic string) (woken chan struct{}, stop func()) {
	woken = make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiters[topic] == nil {
		s.waiters[topic] = make(map[chan struct{}]struct{})
	}
	s.waiters[topic][woken] = struct{}{}
	return woken, func() { s.unsubscribe(topic, woken) }
}

func (s *state) unsubscribe(topic string, woken chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters[topic], woken)
	if len(s.waiters[topic]) == 0 {
		delete(s.waiters, topic)
	}
}

func (s *state) currentEpoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// wake notifies the blocking queries on a topic; s.mu is held.
func (s *state) wake(topic string) {
	for woken := range s.waiters[topic] {
		select {
		case woken <- struct{}{}:
		default:
		}
	}
}

func (s *state) wakeAll() {
	for topic := range s.waiters {
		s.wake(topic)
	}
}
