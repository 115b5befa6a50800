package hangup

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// variable has the test's program play a process that is told to reload; its value is of no meaning.
const variable = "PORTGAUGE_TEST_HANGUP"

// TestMain plays such a process, or runs the tests.
func TestMain(m *testing.M) {
	if os.Getenv(variable) == "" {
		os.Exit(m.Run())
	}
	fmt.Println("up")
	select {
	case <-told:
		fmt.Println("told")
	case <-time.After(10 * time.Second):
	}
}

// A signal to reload doesn't end a node that has asked for none yet, and is kept until it asks; it ends other processes.
func TestSignalBeforeANodeAsks(t *testing.T) {
	for argument, wanted := range map[string]string{nodeArgument: "told", "search": ""} {
		t.Run(argument, func(t *testing.T) {
			is := is.New(t)
			process := exec.Command(os.Args[0], argument)
			process.Env = append(os.Environ(), variable+"=1")
			output, err := process.StdoutPipe()
			is.NoErr(err)
			is.NoErr(process.Start())
			lines := bufio.NewScanner(output)
			is.True(lines.Scan())
			is.Equal(lines.Text(), "up")
			is.NoErr(process.Process.Signal(syscall.SIGHUP))
			lines.Scan()
			is.Equal(lines.Text(), wanted)
			err = process.Wait()
			is.Equal(err == nil, wanted != "")
		})
	}
}
