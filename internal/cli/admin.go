package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/settings"
)

const (
	// defaultAdmin is the default admin address of a router.
	defaultAdmin = "127.0.0.1:8300"
	// requestTimeout bounds a request to a router, which may query other routers to
	// answer it.
	requestTimeout = 10 * time.Second
	// maxDocumentBytes bounds the body of a router's answer.
	maxDocumentBytes = 64 << 20
	// maxErrorBytes bounds the text of an error response.
	maxErrorBytes = 4 << 10
)

// The output formats.
const (
	formatText = "text"
	formatJSON = "json"
	formatHTML = "html"
)

// newConsole returns a console on the process's own streams and environment.
func newConsole() *console {
	return &console{in: os.Stdin, out: os.Stdout, err: os.Stderr, env: os.Getenv}
}

// adminFlags are the flags of the commands that fetch a document from a router.
type adminFlags struct {
	*console
	flags  *settings.Set
	addrs  []string
	format string
}

// registerFlags registers the flags; formats are the output formats to choose from.
func (a *adminFlags) registerFlags(set *settings.Set, formats ...string) {
	a.flags = set
	a.addrs, a.format = []string{defaultAdmin}, formatText
	set.Addrs(&a.addrs, "admin", "`addresses` of routers for operators, IP:port divided by commas; the first that answers is asked", settings.NotEmpty)
	set.String(&a.format, "o", "`form` of the output: "+strings.Join(formats, ", "), oneOf(formats...))
}

// oneOf returns a check that a text is one of the allowed ones.
func oneOf(allowed ...string) settings.Check[string] {
	return func(text string) error {
		for _, value := range allowed {
			if text == value {
				return nil
			}
		}
		return errors.Errorf("%q is none of %s", text, strings.Join(allowed, ", "))
	}
}

// resolveFlags resolves the flags and checks the number of arguments. If it returns
// false, it has reported the error.
func (a *adminFlags) resolveFlags(fs *flag.FlagSet, arguments int) bool {
	err := a.flags.Resolve(a.env)
	if err == nil && fs.NArg() != arguments {
		err = errors.Errorf("%s takes %d arguments, not %d", fs.Name(), arguments, fs.NArg())
	}
	if err != nil {
		a.reportUsageError(err)
	}
	return err == nil
}

// fetchAndPrint fetches a document and prints it, as JSON if that is the chosen
// format, else by calling print.
func (a *adminFlags) fetchAndPrint(ctx context.Context, path string, document any, print func() error) subcommands.ExitStatus {
	err := a.fetch(ctx, path, document)
	if err == nil && a.format == formatJSON {
		err = printJSON(a.out, document)
	} else if err == nil {
		err = print()
	}
	if err != nil {
		return a.reportFailure(err)
	}
	return subcommands.ExitSuccess
}

// fetch decodes a document from the first router that returns it.
func (a *adminFlags) fetch(ctx context.Context, path string, document any) error {
	var failures []string
	for _, addr := range a.addrs {
		data, err := fetchFrom(ctx, addr, path)
		if err == nil {
			return errors.Wrapf(json.Unmarshal(data, document), "decode the answer of %s", addr)
		}
		failures = append(failures, fmt.Sprintf("%s: %v", addr, err))
	}
	return errors.New(strings.Join(failures, "\n"))
}

// fetchFrom returns the body of a document from the router at an admin address.
func fetchFrom(ctx context.Context, addr, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		return nil, errors.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(text)))
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxDocumentBytes))
}

// printJSON prints a document as indented JSON.
func printJSON(w io.Writer, document any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(document)
}

// table prints rows in aligned columns under a title.
type table struct {
	w *tabwriter.Writer
}

// newTable starts a table. The column headings are separated by spaces.
func newTable(out io.Writer, title, headings string) *table {
	fmt.Fprintf(out, "\n%s\n", title)
	t := &table{w: tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	fmt.Fprintln(t.w, strings.ReplaceAll(headings, " ", "\t"))
	return t
}

func (t *table) row(cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(t.w, "\t")
		}
		fmt.Fprint(t.w, cell)
	}
	fmt.Fprintln(t.w)
}

func (t *table) end() { t.w.Flush() }

// ageText formats an age in milliseconds for people.
func ageText(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(10 * time.Millisecond).String()
}
