// Package cli has the code shared by the command-line programs: clients for a node, input of documents, output as a table
// or JSON, and exit codes.
package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

type Format string

const (
	JSON  Format = "json"
	Table Format = "table"
)

// PrintMessage prints a message as JSON, or the rows as a table.
func PrintMessage(output io.Writer, format Format, message proto.Message, header []string, rows [][]string) error {
	if format == JSON {
		content, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true, Multiline: true}.Marshal(message)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(output, string(content))
		return err
	}
	return PrintTable(output, header, rows)
}

// PrintValue prints a value as JSON, or the rows as a table.
func PrintValue(output io.Writer, format Format, value any, header []string, rows [][]string) error {
	if format == JSON {
		encoder := json.NewEncoder(output)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	return PrintTable(output, header, rows)
}

// PrintTable prints a header and rows in aligned columns.
func PrintTable(output io.Writer, header []string, rows [][]string) error {
	writer := tabwriter.NewWriter(output, 0, 4, 2, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		for index, cell := range row {
			separator := "\t"
			if index == len(row)-1 {
				separator = "\n"
			}
			if _, err := fmt.Fprint(writer, cell, separator); err != nil {
				return err
			}
		}
	}
	return writer.Flush()
}
