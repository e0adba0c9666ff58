package text

import (
	"fmt"
	"strings"
)

// Finding is one error in the text, with its position.
type Finding struct {
	// Line and Column count from 1.
	Line, Column int
	// Field is the path of the field, such as service[2].budget.
	Field string
	// Message describes the wrong and the expected value.
	Message string
}

// String returns the position as line:column, the field and the message.
func (f Finding) String() string {
	if f.Field == "" {
		return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Message)
	}
	return fmt.Sprintf("%d:%d: %s: %s", f.Line, f.Column, f.Field, f.Message)
}

// Findings is the error that Parse returns for an invalid text.
type Findings []Finding

// Error returns the findings, one per line.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
