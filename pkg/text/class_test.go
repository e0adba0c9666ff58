package text_test

import (
	"fmt"

	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

func ExampleClassOf() {
	// In RFC 9218, a request without a Priority header has urgency 3.
	fmt.Println(text.ClassOf(0), text.ClassOf(3), text.ClassOf(7))
	// Output: urgent normal background
}
