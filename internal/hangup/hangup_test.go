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

// childVariable is the environment variable that, if not empty, makes the test binary run as a child process that
// receives the signal.
const childVariable = "PORTGAUGE_TEST_HANGUP"

// TestMain runs the tests, or a child process. The child prints "up", and then "signaled" when it receives the signal, or
// "alive" if its standard input ends first.
func TestMain(m *testing.M) {
	if os.Getenv(childVariable) == "" {
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
		fmt.Println("signaled")
	case <-inputEnded:
		fmt.Println("alive")
	case <-time.After(10 * time.Second):
	}
}

// SIGHUP doesn't end a node before its first receive from the channel, and is buffered until then, even if the node's parent
// ignored the signal, as nohup does. It ends other processes unless their parent ignored it.
func TestSignalBeforeFirstReceive(t *testing.T) {
	for _, test := range []struct {
		argument  string
		isIgnored bool
		wanted    string
	}{
		{nodeArgument, false, "signaled"},
		{nodeArgument, true, "signaled"},
		{"search", false, ""},
		{"search", true, "alive"},
	} {
		t.Run(fmt.Sprintf("%s, ignored by parent %t", test.argument, test.isIgnored), func(t *testing.T) {
			is := is.New(t)
			process := exec.Command(os.Args[0], test.argument)
			process.Env = append(os.Environ(), childVariable+"=1")
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

// setInherited sets whether processes started by the test begin with the signal ignored, whatever the test's own parent did.
// An ignored signal stays ignored in a new process; a caught signal has its default action there.
func setInherited(t *testing.T, isIgnored bool) {
	t.Helper()
	t.Cleanup(func() { signal.Reset(syscall.SIGHUP) })
	if isIgnored {
		signal.Ignore(syscall.SIGHUP)
		return
	}
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
}
