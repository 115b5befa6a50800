package hangup

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// variable has the test's program run as a process that receives the signal; its value has no meaning.
const variable = "PORTGAUGE_TEST_HANGUP"

// TestMain runs such a process, or the tests. The process prints "up", and then "told" when it gets a signal to reload, or
// "alive" when its standard input ends first.
func TestMain(m *testing.M) {
	if os.Getenv(variable) == "" {
		os.Exit(m.Run())
	}
	inputEnded := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		close(inputEnded)
	}()
	fmt.Println("up")
	select {
	case <-signals:
		fmt.Println("told")
	case <-inputEnded:
		fmt.Println("alive")
	case <-time.After(10 * time.Second):
	}
}

// A signal to reload doesn't end a node that has asked for none yet, and is kept until it asks, also where the node's parent
// ignored the signal, as nohup does. It ends other processes, unless their parent ignored it.
func TestSignalBeforeANodeAsks(t *testing.T) {
	for _, test := range []struct {
		argument  string
		isIgnored bool
		wanted    string
	}{
		{nodeArgument, false, "told"},
		{nodeArgument, true, "told"},
		{"search", false, ""},
		{"search", true, "alive"},
	} {
		t.Run(fmt.Sprintf("%s, ignored by its parent %t", test.argument, test.isIgnored), func(t *testing.T) {
			is := is.New(t)
			process := exec.Command(os.Args[0], test.argument)
			process.Env = append(os.Environ(), variable+"=1")
			input, err := process.StdinPipe()
			is.NoErr(err)
			output, err := process.StdoutPipe()
			is.NoErr(err)
			setInherited(t, test.isIgnored)
			is.NoErr(process.Start())
			lines := bufio.NewScanner(output)
			is.True(lines.Scan())
			is.Equal(lines.Text(), "up")
			is.NoErr(process.Process.Signal(syscall.SIGHUP))
			if test.wanted == "alive" {
				is.NoErr(input.Close())
			}
			lines.Scan()
			is.Equal(lines.Text(), test.wanted)
			err = process.Wait()
			is.Equal(err == nil, test.wanted != "")
		})
	}
}

// setInherited sets whether processes started by the test begin with the signal ignored, whatever the test's own parent did:
// an ignored signal stays ignored in a new process, a caught one has its default action there.
func setInherited(t *testing.T, isIgnored bool) {
	t.Helper()
	t.Cleanup(func() { signal.Reset(syscall.SIGHUP) })
	if isIgnored {
		signal.Ignore(syscall.SIGHUP)
		return
	}
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
}
