package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/tacktally/tacktally/internal/logs"
)

// logFiles is the option for the logs of instances, in any order.
type logFiles struct {
	Logs []flags.Filename `short:"l" long:"log" value-name:"FILE" required:"true" description:"Log of one or more instances; may be repeated"`
}

// read returns the lines of all logs, ordered by time.
func (f *logFiles) read() ([]logs.Line, error) {
	var out []logs.Line
	for _, name := range f.Logs {
		lines, err := readLog(string(name))
		if err != nil {
			return nil, err
		}
		out = append(out, lines...)
	}
	if len(out) == 0 {
		return nil, errors.New("the logs contain no line of an instance; name files with lines of key=value pairs")
	}
	logs.Sort(out)
	return out, nil
}

func readLog(name string) ([]logs.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("the log can't be read; name a readable file: %w", err)
	}
	defer file.Close()
	return logs.Read(file)
}

type traceCommand struct {
	session *session
	logFiles
	Args struct {
		Request string `positional-arg-name:"ID" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *traceCommand) Execute([]string) error {
	lines, err := c.read()
	if err != nil {
		return err
	}
	trace := logs.TraceRequest(lines, c.Args.Request)
	if len(trace.Lines) == 0 {
		return fmt.Errorf("no line names request %s; give the logs of all instances from its arrival on", c.Args.Request)
	}
	for _, l := range trace.Lines {
		fmt.Fprintln(c.session.out, l.Text)
	}
	for _, cause := range trace.Causes {
		fmt.Fprintf(c.session.out, "\n%s:\n  %s\n", cause.Explanation, cause.Line.Text)
	}
	return nil
}

type outcomesCommand struct {
	session *session
	logFiles
	By   string        `long:"by" default:"reason" choice:"reason" choice:"route" choice:"organisation" choice:"service" choice:"instance" description:"Field to count by"`
	Step time.Duration `long:"step" default:"2s" description:"Period of a row"`
	Plot string        `long:"plot" value-name:"FILE" description:"Also write a plot to this SVG file"`
}

// Execute implements flags.Commander.
func (c *outcomesCommand) Execute([]string) error {
	if c.Step <= 0 {
		return errors.New("--step must be above 0; write a duration, such as 2s")
	}
	lines, err := c.read()
	if err != nil {
		return err
	}
	o, err := logs.CountOutcomes(lines, c.By, c.Step)
	if err != nil {
		return err
	}
	if len(o.Names) == 0 {
		return errors.New("no request ended in the logs; give logs of a period with requests")
	}
	if err := c.print(o); err != nil || c.Plot == "" {
		return err
	}
	file, err := os.Create(c.Plot)
	if err != nil {
		return fmt.Errorf("the --plot file can't be written; name a writable file: %w", err)
	}
	return errors.Join(o.WriteSVG(file), file.Close())
}

func (c *outcomesCommand) print(o logs.Outcomes) error {
	return c.session.table(func(w io.Writer) {
		fmt.Fprint(w, "from")
		for _, name := range o.Names {
			fmt.Fprintf(w, "\t%s", name)
		}
		for i := range o.Counts[o.Names[0]] {
			fmt.Fprintf(w, "\n%s", o.Start.Add(time.Duration(i)*o.Step).Format("15:04:05"))
			for _, name := range o.Names {
				fmt.Fprintf(w, "\t%d", o.Counts[name][i])
			}
		}
		fmt.Fprint(w, "\nall")
		for _, name := range o.Names {
			fmt.Fprintf(w, "\t%d", o.Total(name))
		}
		fmt.Fprintln(w)
	})
}
