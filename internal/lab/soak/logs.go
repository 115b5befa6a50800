package soak

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// writeRun writes the events, the requests as their callers saw them and the newest output of each node to a directory. Times
// are in seconds since the soak began.
func (e *environment) writeRun(dir, events string, began time.Time, seen []outcome) error {
	if err := e.writeLogs(dir); err != nil {
		return err
	}
	var requests bytes.Buffer
	fmt.Fprintln(&requests, "sent,ended,id,kind,node,life,status,leaf")
	for _, o := range seen {
		fmt.Fprintf(&requests, "%.4f,%.4f,%s,%s,%s,%d,%d,%s\n", o.sent.Sub(began).Seconds(), o.ended.Sub(began).Seconds(), o.id, o.kind,
			o.node.name, o.processNumber, o.status, o.header.Get(e.names.ResponseStamp))
	}
	for _, c := range e.changes {
		events += fmt.Sprintf("%8.3f configuration %d accepted: %s\n", c.at.Sub(began).Seconds(), c.version, c.switched)
	}
	for name, content := range map[string][]byte{"requests.csv": requests.Bytes(), "story.txt": []byte(events)} {
		if err := os.WriteFile(filepath.Join(dir, name), content, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// writeLogs writes the newest output of each node to a directory, which it creates if needed. It does nothing if dir is
// empty.
func (e *environment) writeLogs(dir string) error {
	if dir == "" {
		return nil
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	for _, node := range e.nodes {
		if err := os.WriteFile(filepath.Join(dir, node.name+".log"), []byte(node.output()), 0o600); err != nil {
			return err
		}
	}
	return nil
}
