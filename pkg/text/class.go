package text

// Class is the urgency class of a request. Requests of the same service and Class
// are scheduled alike.
type Class uint8

// Urgency classes, from most to least urgent.
const (
	Urgent Class = iota
	Normal
	Background

	// Classes is the number of urgency classes.
	Classes = 3
)

// Highest RFC 9218 urgency value of each class.
const (
	urgentMax = 1
	normalMax = 4
)

// ClassOf returns the class of an RFC 9218 urgency, which is 0 to 7.
func ClassOf(urgency int) Class {
	switch {
	case urgency <= urgentMax:
		return Urgent
	case urgency <= normalMax:
		return Normal
	default:
		return Background
	}
}

// String returns the name that the configuration text, the logs and the totals
// use.
func (c Class) String() string {
	switch c {
	case Urgent:
		return "urgent"
	case Normal:
		return "normal"
	default:
		return "background"
	}
}
