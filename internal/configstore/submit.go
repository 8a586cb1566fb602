package configstore

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/store"
)

const (
	// maxWriteAttempts is how often a write is attempted. After each failure, a
	// read determines whether the write took effect.
	maxWriteAttempts = 5
	// writeRetryDelay is the delay after a write that failed with an error.
	writeRetryDelay = 200 * time.Millisecond
)

// Result is the result of a submission.
type Result struct {
	Accepted
	// Unchanged means that the same configuration was already in force, so that
	// no new generation was created. Accepted then describes the one in force.
	Unchanged bool
}

// Submit puts a configuration in force as the generation after base; base 0
// means that none was accepted yet. Submit is idempotent: if a submission with
// the same name and configuration was accepted before, it is not accepted again
// and its result is returned, so that a call may be repeated after a lost
// response. If a generation other than base is in force, the error is a
// *ConflictError. After ErrOutcomeUnknown, repeating the same call determines the
// outcome. Any other error means that this call did not put the submission in
// force.
func Submit(ctx context.Context, store store.Store, cfg *config.Config, base uint64, submission string) (Result, error) {
	s := submitter{ctx: ctx, store: store, sleep: sleepContext}
	return s.submit(cfg, base, submission)
}

// sleepContext waits for d or until the context is done.
func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// submitter carries out one submission.
type submitter struct {
	ctx   context.Context
	store store.Store
	// sleep waits between attempts; tests replace it.
	sleep func(context.Context, time.Duration)
}

// submit implements Submit.
func (s *submitter) submit(cfg *config.Config, base uint64, submission string) (Result, error) {
	if submission == "" {
		return Result{}, errors.New("a submission needs a name")
	}
	if err := cfg.Check(); err != nil {
		return Result{}, err
	}
	digest, err := cfg.Digest()
	if err != nil {
		return Result{}, err
	}
	current, err := s.readSnapshot()
	if err != nil {
		return Result{}, err
	}
	if accepted, ok := current.findAccepted(submission); ok {
		return acceptedResult(accepted, digest)
	}
	if current.head.Generation != base {
		return Result{}, &ConflictError{Base: base, InForce: current.head.Accepted}
	}
	if current.head.Digest == digest {
		return Result{Accepted: current.head.Accepted, Unchanged: true}, nil
	}
	return s.publish(cfg, current, Accepted{Generation: base + 1, Digest: digest, Submission: submission})
}

// acceptedResult returns the result for an accepted submission, or
// ErrSubmissionReused if it was accepted with a configuration of another digest.
func acceptedResult(accepted Accepted, digest string) (Result, error) {
	if accepted.Digest != digest {
		return Result{}, errors.Wrapf(ErrSubmissionReused, "generation %d", accepted.Generation)
	}
	return Result{Accepted: accepted}, nil
}

// publish writes the parts and the manifest, then the head, and then deletes the
// parts that the manifest marks.
func (s *submitter) publish(cfg *config.Config, current snapshot, next Accepted) (Result, error) {
	parts, err := cfg.Split()
	if err != nil {
		return Result{}, err
	}
	stored, err := s.listParts()
	if err != nil {
		return Result{}, err
	}
	manifest := current.nextManifest(parts, stored)
	part := manifestPart(manifest)
	if err := s.writeParts(append(parts, part), current, stored); err != nil {
		return Result{}, err
	}
	next.Manifest = part.Digest
	accepted, err := s.writeHead(current, next)
	if err != nil {
		return Result{}, err
	}
	if accepted == next {
		s.deleteMarked(manifest.MarkedForDeletion)
	}
	return acceptedResult(accepted, next.Digest)
}

// manifestPart returns an encoded manifest, which is stored like a part.
func manifestPart(m Manifest) config.Part {
	data := encodeJSON(m)
	return config.Part{Digest: config.PartDigest(data), Data: data}
}

// writeHead accepts the submission by a compare-and-swap of the head. After a
// failed attempt it reads the head and its history, since the write may have
// taken effect and newer generations may follow it already.
func (s *submitter) writeHead(current snapshot, next Accepted) (Accepted, error) {
	value := encodeJSON(Head{next})
	outcomeUnknown := false
	for range maxWriteAttempts {
		ok, err := s.store.CAS(s.ctx, HeadKey, value, current.index)
		if err == nil && ok {
			return next, nil
		}
		if errors.Is(err, store.ErrTooLarge) {
			return Accepted{}, err
		}
		outcomeUnknown = outcomeUnknown || err != nil && !errors.Is(err, store.ErrUnavailable)
		if err != nil {
			s.sleep(s.ctx, writeRetryDelay)
		}
		latest, readErr := s.readSnapshot()
		if readErr != nil {
			continue
		}
		if accepted, found := latest.findAccepted(next.Submission); found {
			return accepted, nil
		}
		if latest.index != current.index {
			return Accepted{}, &ConflictError{Base: current.head.Generation, InForce: latest.head.Accepted}
		}
	}
	if outcomeUnknown {
		return Accepted{}, errors.WithMessagef(ErrOutcomeUnknown, "submission %s", next.Submission)
	}
	return Accepted{}, errors.Wrap(store.ErrUnavailable, "write the head of the configuration")
}

// deleteMarked deletes the marked parts. It stops at the first error; the next
// submission finds and marks the remaining parts again.
func (s *submitter) deleteMarked(marked []MarkedPart) {
	for _, part := range marked {
		if _, err := s.store.Delete(s.ctx, PartPrefix+part.Digest, part.Index); err != nil {
			return
		}
	}
}
