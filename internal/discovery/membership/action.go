package membership

// Action is a FullList, a Delta, a RequestSnapshot or a LogLine.
type Action interface{ action() }

var (
	_ Action = FullList{}
	_ Action = Delta{}
	_ Action = RequestSnapshot{}
	_ Action = LogLine("")
)

// FullList replaces the list in force.
type FullList struct {
	Entries map[string]Entry
	Cached  bool // from an earlier process, not yet confirmed by a source
}

// Delta holds the changes to the list in force.
type Delta struct {
	Changed map[string]Entry
	Removed []string
}

// RequestSnapshot asks for a new snapshot of a source, given by its index in Config.Sources.
type RequestSnapshot struct{ Source int }

// LogLine is a line for the log.
type LogLine string

func (FullList) action()        {}
func (Delta) action()           {}
func (RequestSnapshot) action() {}
func (LogLine) action()         {}
