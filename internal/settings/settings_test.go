package settings

import (
	"bytes"
	"errors"
	"flag"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// values holds a setting of each type.
type values struct {
	name  string
	addr  string
	peers []string
	slots int
	wait  time.Duration
	part  float64
	fence bool
}

// register returns a Set with the settings of v, and the flags that it uses.
func register(v *values) (*Set, *flag.FlagSet) {
	fs := flag.NewFlagSet("test", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	s := New(fs)
	s.String(&v.name, "name", "name of the router", Required)
	s.Addr(&v.addr, "listen", "address as `IP:port`")
	s.Addrs(&v.peers, "peers", "addresses as `IP:port,...`")
	s.Int(&v.slots, "slots", "`requests` at a time", Positive)
	s.Duration(&v.wait, "max-wait", "longest wait as `duration`", Between(time.Second, time.Minute))
	s.Float64(&v.part, "part", "`fraction`", Between(0.0, 1.0))
	s.Bool(&v.fence, "fence", "check fencing")
	return s, fs
}

func defaults() *values {
	return &values{slots: 8, wait: 10 * time.Second, part: 0.5}
}

func environment(pairs map[string]string) func(string) string {
	return func(name string) string { return pairs[name] }
}

func TestFlagsOverrideEnvironment(t *testing.T) {
	g := NewWithT(t)
	v := defaults()
	s, fs := register(v)
	g.Expect(fs.Parse([]string{"-slots", "4", "-fence", "-peers", "127.0.0.1:1, [::1]:2"})).To(Succeed())
	g.Expect(s.Resolve(environment(map[string]string{
		"JUJUBEFORD_SLOTS":    "5",
		"JUJUBEFORD_MAX_WAIT": "1.6s",
		"JUJUBEFORD_NAME":     "a",
	}))).To(Succeed())
	g.Expect(*v).To(Equal(values{
		name: "a", peers: []string{"127.0.0.1:1", "[::1]:2"}, slots: 4,
		wait: 1600 * time.Millisecond, part: 0.5, fence: true,
	}))
}

func TestResolveReportsAllFaults(t *testing.T) {
	g := NewWithT(t)
	s, fs := register(defaults())
	g.Expect(fs.Parse([]string{"-slots", "0", "-listen", "localhost:80", "-fence=perhaps", "-part", "NaN"})).To(Succeed())
	err := s.Resolve(environment(map[string]string{"JUJUBEFORD_MAX_WAIT": "soon", "JUJUBEFORD_PEERS": "1.2.3.4"}))
	var faults Faults
	g.Expect(errors.As(err, &faults)).To(BeTrue())
	g.Expect(strings.Split(err.Error(), "\n")).To(Equal([]string{
		`-name (JUJUBEFORD_NAME): is missing`,
		`-listen (JUJUBEFORD_LISTEN): "localhost:80" is not an address of the form IP:port`,
		`-peers (JUJUBEFORD_PEERS): "1.2.3.4" is not an address of the form IP:port`,
		`-slots (JUJUBEFORD_SLOTS): 0 is not above 0`,
		`-max-wait (JUJUBEFORD_MAX_WAIT): "soon" is not a duration such as 1.6s`,
		`-part (JUJUBEFORD_PART): NaN is not between 0 and 1`,
		`-fence (JUJUBEFORD_FENCE): "perhaps" is not true or false`,
	}))
}

func TestCheckAcrossSettings(t *testing.T) {
	g := NewWithT(t)
	v := defaults()
	v.name = "a"
	s, fs := register(v)
	s.Check(func() error { return errors.New("-slots and -part exclude each other") })
	g.Expect(fs.Parse(nil)).To(Succeed())
	g.Expect(s.Resolve(environment(nil))).To(MatchError("-slots and -part exclude each other"))
}

func TestHelpShowsUnitsDefaultsAndVariables(t *testing.T) {
	g := NewWithT(t)
	_, fs := register(defaults())
	var out bytes.Buffer
	fs.SetOutput(&out)
	fs.PrintDefaults()
	g.Expect(out.String()).To(ContainSubstring("-max-wait duration\n    \tlongest wait as duration; JUJUBEFORD_MAX_WAIT (default 10s)"))
	g.Expect(out.String()).To(ContainSubstring("-slots requests\n    \trequests at a time; JUJUBEFORD_SLOTS (default 8)"))
	g.Expect(out.String()).NotTo(ContainSubstring("(default )"))
}
