package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Check says what is wrong with a value, or nil.
type Check[T any] func(T) error

// Var registers a setting of any type. The value that p has is the default. The
// usage should name the unit, in back quotes.
func Var[T any](s *Set, p *T, name, usage string, parse func(string) (T, error), checks ...Check[T]) {
	v := &variable{name: name, text: formatDefault(*p)}
	v.assign = func(text string) (err error) {
		value, err := parse(text)
		if err == nil {
			*p = value
		}
		return err
	}
	v.check = func() error {
		for _, check := range checks {
			if err := check(*p); err != nil {
				return err
			}
		}
		return nil
	}
	_, v.boolean = any(*p).(bool)
	s.vars = append(s.vars, v)
	s.flags.Var(v, name, fmt.Sprintf("%s; %s", usage, EnvName(name)))
}

// formatDefault is the text of a default.
func formatDefault(value any) string {
	if list, ok := value.([]string); ok {
		return strings.Join(list, ",")
	}
	return fmt.Sprint(value)
}

// String registers a text.
func (s *Set) String(p *string, name, usage string, checks ...Check[string]) {
	Var(s, p, name, usage, func(text string) (string, error) { return text, nil }, checks...)
}

// Bool registers a switch.
func (s *Set) Bool(p *bool, name, usage string) {
	Var(s, p, name, usage, func(text string) (bool, error) {
		value, err := strconv.ParseBool(text)
		return value, syntaxError(err, text, "true or false")
	})
}

// Int registers a whole number.
func (s *Set) Int(p *int, name, usage string, checks ...Check[int]) {
	Var(s, p, name, usage, func(text string) (int, error) {
		value, err := strconv.Atoi(text)
		return value, syntaxError(err, text, "a whole number")
	}, checks...)
}

// Uint64 registers a whole number that is not negative.
func (s *Set) Uint64(p *uint64, name, usage string, checks ...Check[uint64]) {
	Var(s, p, name, usage, func(text string) (uint64, error) {
		value, err := strconv.ParseUint(text, 10, 64)
		return value, syntaxError(err, text, "a whole number that is not negative")
	}, checks...)
}

// Float64 registers a number.
func (s *Set) Float64(p *float64, name, usage string, checks ...Check[float64]) {
	Var(s, p, name, usage, func(text string) (float64, error) {
		value, err := strconv.ParseFloat(text, 64)
		return value, syntaxError(err, text, "a number")
	}, checks...)
}

// Duration registers a duration.
func (s *Set) Duration(p *time.Duration, name, usage string, checks ...Check[time.Duration]) {
	Var(s, p, name, usage, func(text string) (time.Duration, error) {
		value, err := time.ParseDuration(text)
		return value, syntaxError(err, text, "a duration such as 1.6s")
	}, checks...)
}

// Addr registers an address of the form IP:port; empty if it is not set.
func (s *Set) Addr(p *string, name, usage string, checks ...Check[string]) {
	Var(s, p, name, usage, parseAddr, checks...)
}

// Addrs registers a list of addresses of the form IP:port, divided by commas.
func (s *Set) Addrs(p *[]string, name, usage string, checks ...Check[[]string]) {
	Var(s, p, name, usage, func(text string) ([]string, error) {
		list := strings.Split(text, ",")
		for i, item := range list {
			addr, err := parseAddr(strings.TrimSpace(item))
			if err != nil {
				return nil, err
			}
			list[i] = addr
		}
		return list, nil
	}, checks...)
}

func parseAddr(text string) (string, error) {
	_, err := netip.ParseAddrPort(text)
	return text, syntaxError(err, text, "an address of the form IP:port")
}

// syntaxError says what a text should have been.
func syntaxError(err error, text, want string) error {
	if err == nil {
		return nil
	}
	return errors.Errorf("%q is not %s", text, want)
}

// Required refuses the zero value.
func Required[T comparable](value T) error {
	var zero T
	if value == zero {
		return errors.New("is missing")
	}
	return nil
}

// NotEmpty refuses an empty list.
func NotEmpty[T any](list []T) error {
	if len(list) == 0 {
		return errors.New("is missing")
	}
	return nil
}

// Positive refuses values that are not above zero.
func Positive[T cmp.Ordered](value T) error {
	var zero T
	if !(value > zero) {
		return errors.Errorf("%v is not above %v", value, zero)
	}
	return nil
}

// Between refuses values outside of the bounds.
func Between[T cmp.Ordered](low, high T) Check[T] {
	return func(value T) error {
		if !(low <= value && value <= high) {
			return errors.Errorf("%v is not between %v and %v", value, low, high)
		}
		return nil
	}
}
