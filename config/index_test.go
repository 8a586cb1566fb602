package config

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestIndex(t *testing.T) {
	g := NewWithT(t)
	cfg, err := sampleBuilder().Build()
	g.Expect(err).NotTo(HaveOccurred())
	x, err := NewIndex(cfg)
	g.Expect(err).NotTo(HaveOccurred())

	atlanta, ok := x.Organisation("example-key-atlanta")
	g.Expect(ok).To(BeTrue())
	g.Expect(atlanta.Name).To(Equal("atlanta"))
	g.Expect(atlanta.Reaches("assistant")).To(BeTrue())
	g.Expect(atlanta.Reaches("payment")).To(BeFalse())
	for _, wrongKey := range []string{"", "example-key", atlanta.Keys[0]} {
		_, ok = x.Organisation(wrongKey)
		g.Expect(ok).To(BeFalse(), wrongKey)
	}

	assistant, ok := x.Model("busker-assistant")
	g.Expect(ok).To(BeTrue())
	g.Expect(assistant.Name).To(Equal("assistant"))
	_, ok = x.Model("")
	g.Expect(ok).To(BeFalse())
	_, ok = x.Service("payment")
	g.Expect(ok).To(BeTrue())
}

func TestIndexComparesWholeKeyDigests(t *testing.T) {
	g := NewWithT(t)
	similar := KeyDigest("example-key")[:16] + strings.Repeat("0", 48)
	x, err := NewIndex(&New("fleet").Organisation(NewOrganisation("a", 1).WithKeyDigest(similar)).cfg)
	g.Expect(err).NotTo(HaveOccurred())
	_, ok := x.Organisation("example-key")
	g.Expect(ok).To(BeFalse())
}

func TestIndexOnceReturnsLongestRule(t *testing.T) {
	g := NewWithT(t)
	x, err := NewIndex(&New("fleet").Service(PlainService("registry", "/registry/").
		RunWritesOnce("/registry/", "changes the registry").
		RunOnce("POST", "/registry/transfers", "transfers a title")).cfg)
	g.Expect(err).NotTo(HaveOccurred())
	for path, why := range map[string]string{
		"/registry/transfers/7": "transfers a title",
		"/registry/fees":        "changes the registry",
	} {
		rule, ok := x.Once("registry", "POST", path)
		g.Expect(ok).To(BeTrue())
		g.Expect(rule.Why).To(Equal(why))
	}
	_, ok := x.Once("registry", "GET", "/registry/transfers/7")
	g.Expect(ok).To(BeFalse())
}

func TestIndexPaths(t *testing.T) {
	cfg := sampleBuilder().cfg
	x, err := NewIndex(&cfg)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		method, path string
		service      string
		once         bool
	}{
		{"POST", "/payment/charges", "payment", true},
		{"post", "/payment/charges/7", "payment", true},
		{"POST", "/payment//charges", "payment", true},
		{"POST", "/payment/x/../Charges", "payment", true},
		{"POST", "/./payment/charges/", "payment", true},
		{"GET", "/payment/charges", "payment", false},
		{"POST", "/payment/refunds", "payment", false},
		{"POST", "/payment/", "payment", false},
		{"POST", "/payment", "", false},
		{"POST", "/payment/../other", "", false},
		{"POST", "", "", false},
	}
	for _, test := range tests {
		t.Run(test.method+" "+test.path, func(t *testing.T) {
			g := NewWithT(t)
			service, ok := x.Path(test.path)
			g.Expect(ok).To(Equal(test.service != ""))
			if !ok {
				return
			}
			g.Expect(service.Name).To(Equal(test.service))
			rule, once := x.Once(service.Name, test.method, test.path)
			g.Expect(once).To(Equal(test.once))
			if once {
				g.Expect(rule.Why).To(Equal("charges a card"))
			}
		})
	}
}
