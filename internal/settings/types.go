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

// Check returns an error that says what is wrong with a value, or nil if it is
// valid.
type Check[T any] func(T) error

// Var registers a setting of any type, which is stored in *p. The present value of
// *p is the default. The usage should name the unit, in back quotes.
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

// formatDefault returns the text of a default value.
func formatDefault(value any) string {
	if list, ok := value.([]string); ok {
		return strings.Join(list, ",")
	}
	return fmt.Sprint(value)
}

// String registers a string setting.
func (s *Set) String(p *string, name, usage string, checks ...Check[string]) {
	Var(s, p, name, usage, func(text string) (string, error) { return text, nil }, checks...)
}

// Bool registers a boolean setting.
func (s *Set) Bool(p *bool, name, usage string) {
	Var(s, p, name, usage, func(text string) (bool, error) {
		value, err := strconv.ParseBool(text)
		return value, syntaxError(err, text, "true or false")
	})
}

// Int registers an integer setting.
func (s *Set) Int(p *int, name, usage string, checks ...Check[int]) {
	Var(s, p, name, usage, func(text string) (int, error) {
		value, err := strconv.Atoi(text)
		return value, syntaxError(err, text, "a whole number")
	}, checks...)
}

// Uint64 registers a non-negative integer setting.
func (s *Set) Uint64(p *uint64, name, usage string, checks ...Check[uint64]) {
	Var(s, p, name, usage, func(text string) (uint64, error) {
		value, err := strconv.ParseUint(text, 10, 64)
		return value, syntaxError(err, text, "a whole number that is not negative")
	}, checks...)
}

// Float64 registers a floating-point setting.
func (s *Set) Float64(p *float64, name, usage string, checks ...Check[float64]) {
	Var(s, p, name, usage, func(text string) (float64, error) {
		value, err := strconv.ParseFloat(text, 64)
		return value, syntaxError(err, text, "a number")
	}, checks...)
}

// Duration registers a duration setting.
func (s *Set) Duration(p *time.Duration, name, usage string, checks ...Check[time.Duration]) {
	Var(s, p, name, usage, func(text string) (time.Duration, error) {
		value, err := time.ParseDuration(text)
		return value, syntaxError(err, text, "a duration such as 1.6s")
	}, checks...)
}

// Addr registers an address of the form IP:port. An address that is not set is
// empty.
func (s *Set) Addr(p *string, name, usage string, checks ...Check[string]) {
	Var(s, p, name, usage, parseAddr, checks...)
}

// Addrs registers a comma-separated list of addresses of the form IP:port.
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

// parseAddr checks that text is an address of the form IP:port and returns it.
func parseAddr(text string) (string, error) {
	_, err := netip.ParseAddrPort(text)
	return text, syntaxError(err, text, "an address of the form IP:port")
}

// syntaxError returns an error that says what form a text should have, or nil if
// err is nil.
func syntaxError(err error, text, want string) error {
	if err == nil {
		return nil
	}
	return errors.Errorf("%q is not %s", text, want)
}

// Required rejects the zero value.
func Required[T comparable](value T) error {
	var zero T
	if value == zero {
		return errors.New("is missing")
	}
	return nil
}

// NotEmpty rejects an empty list.
func NotEmpty[T any](list []T) error {
	if len(list) == 0 {
		return errors.New("is missing")
	}
	return nil
}

// Positive rejects values that are not above zero, and NaN.
func Positive[T cmp.Ordered](value T) error {
	var zero T
	if !(value > zero) {
		return errors.Errorf("%v is not above %v", value, zero)
	}
	return nil
}

// Between returns a Check that rejects values outside the inclusive bounds, and
// NaN.
func Between[T cmp.Ordered](low, high T) Check[T] {
	return func(value T) error {
		if !(low <= value && value <= high) {
			return errors.Errorf("%v is not between %v and %v", value, low, high)
		}
		return nil
	}
}
