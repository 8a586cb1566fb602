package scenario

import "github.com/pkg/errors"

// Check returns the first error found in the scenario.
func (s *Scenario) Check() error {
	switch {
	case s.Name == "":
		return errors.New("name is missing")
	case s.Organisations < 1 || s.Large < 0 || s.Large > s.Organisations:
		return errors.New("organisations must be at least 1, and large between 0 and organisations")
	case len(s.Phases) == 0 || len(s.Kinds) == 0:
		return errors.New("phases and kinds must not be empty")
	case s.Duration() > MaxDuration || s.Drain > MaxDuration:
		return errors.Errorf("phases or drain are longer than %s", MaxDuration)
	case s.Pinned.Organisations > 0 && s.Pinned.Routers < 1:
		return errors.New("pinned.routers must be at least 1 if organisations are pinned")
	}
	for _, p := range s.Phases {
		if p.Duration <= 0 || p.Factor < 0 || p.Ramp < 0 || p.Ramp > p.Duration {
			return errors.Errorf("phase %q: bad duration, factor or ramp (duration must be positive, factor and ramp at least 0, ramp at most duration)", p.Name)
		}
	}
	for _, k := range s.Kinds {
		if err := k.check(); err != nil {
			return errors.Wrapf(err, "kind %q", k.Name)
		}
	}
	if err := s.checkReferences(); err != nil {
		return err
	}
	for _, e := range s.Events {
		if err := e.check(); err != nil {
			return errors.Wrapf(err, "event at %s", e.At)
		}
		if e.At < 0 || e.At >= s.Duration() {
			return errors.Errorf("event at %s is outside of the run", e.At)
		}
	}
	return nil
}

// checkReferences returns an error if the scenario refers to a phase or a kind
// of request that it doesn't define.
func (s *Scenario) checkReferences() error {
	phases := []string{}
	if s.PeakPhase != "" {
		phases = append(phases, s.PeakPhase)
	}
	if c := s.Contrast; c != nil {
		phases = append(phases, c.With, c.Without)
		if s.KindIndex(c.Kind) < 0 {
			return errors.Errorf("contrast: no kind %q", c.Kind)
		}
	}
	for _, name := range phases {
		if _, _, ok := s.Window(name); !ok {
			return errors.Errorf("no phase %q", name)
		}
	}
	for _, p := range s.Phases {
		for _, kind := range p.Only {
			if s.KindIndex(kind) < 0 {
				return errors.Errorf("phase %q: no kind %q", p.Name, kind)
			}
		}
	}
	return nil
}

func (k Kind) check() error {
	switch k.Service {
	case ModelService:
		if k.Load <= 0 || k.MinTokens < 1 || k.MaxTokens < k.MinTokens {
			return errors.New("a model request needs load, min_tokens and max_tokens")
		}
	case PlainService:
		if k.Rate <= 0 {
			return errors.New("a plain request needs a rate")
		}
	default:
		return errors.Errorf("unknown service %q", k.Service)
	}
	if k.DuplicateFraction < 0 || k.DuplicateFraction > 1 {
		return errors.New("again must be between 0 and 1")
	}
	return nil
}

func (e Event) check() error {
	switch e.Action {
	case Slow:
		if e.Factor <= 1 || e.Duration <= 0 {
			return errors.New("slow needs a factor above 1 and a duration")
		}
	case Kill, Partition:
	default:
		return errors.Errorf("unknown action %q", e.Action)
	}
	return nil
}
